package org.rattanrudder.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.document.SettingsDifference;

/**
 * Reads a settings file again when a signal says that it has changed, and every now and then.
 *
 * <p>It has a thread of its own: a slow disk holds up no request.
 */
final class SettingsWatch implements AutoCloseable {
    /** How often the file is looked at, in ms: it may change without a signal; a look costs one small read. */
    private static final long PERIOD_MILLIS = 1_000;

    private final Path file;
    private final String started;
    private final Set<String> changeable;
    private final SettingsReader reader;
    private final EventLog log = new EventLog(Logger.getLogger(SettingsWatch.class), new MonotonicClock());
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, SettingsWatch::daemon);
    private final AtomicBoolean asked = new AtomicBoolean();
    private String taken;
    private String lastRead;

    /**
     * Makes a watch; it begins with {@link #start}.
     *
     * @param file the settings file
     * @param text what the process was started with
     * @param changeable the keys that the process takes over while it runs
     * @param reader takes what is read
     */
    SettingsWatch(Path file, String text, Set<String> changeable, SettingsReader reader) {
        this.file = file;
        this.changeable = changeable;
        this.reader = reader;
        started = text;
        taken = text;
        lastRead = text;
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "settings");
        thread.setDaemon(true);
        return thread;
    }

    /** Begins to look at the file. */
    void start() {
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        thread.scheduleWithFixedDelay(() -> look(false), PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reads the file at once; asked again before that has happened, it is read once. */
    void readNow() {
        if (!thread.isShutdown() && asked.compareAndSet(false, true)) {
            thread.execute(() -> {
                asked.set(false);
                look(true);
            });
        }
    }

    /** Looks at the file; an exception that nobody caught would end all further looks without a word. */
    private void look(boolean wasAsked) {
        String because = wasAsked ? "signal" : "file";
        try {
            String text = Files.readString(file);
            if (wasAsked || !text.equals(lastRead)) {
                lastRead = text;
                take(text, because);
            }
        } catch (IOException | RuntimeException failed) {
            boolean first = !lastRead.isEmpty();
            lastRead = "";
            if (wasAsked || first) {
                unreadable(because, failed.toString());
            }
        }
    }

    private void take(String text, String because) {
        List<String> problems = reader.take(text);
        if (!problems.isEmpty()) {
            unreadable(because, String.join("; ", problems));
            return;
        }
        List<String> inForce = SettingsDifference.keys(taken, text);
        List<String> needRestart = SettingsDifference.keys(started, text);
        taken = text;
        log.info(
                "settings_read",
                "because",
                because,
                "in_force",
                joined(inForce.stream().filter(changeable::contains)),
                "need_restart",
                joined(needRestart.stream().filter(key -> !changeable.contains(key))));
    }

    private void unreadable(String because, String problems) {
        log.warn("settings_unreadable", "because", because, "file", file.toString(), "problems", problems);
    }

    private static String joined(Stream<String> keys) {
        String text = keys.collect(Collectors.joining(","));
        return text.isEmpty() ? "none" : text;
    }

    @Override
    public void close() {
        thread.shutdown();
    }
}
