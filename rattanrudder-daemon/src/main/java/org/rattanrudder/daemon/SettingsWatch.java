package org.rattanrudder.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.MonotonicClock;

/**
 * Reads a settings file again when a signal says that it has changed, and every now and then.
 *
 * <p>It has a thread of its own: a slow disk holds up no request.
 */
final class SettingsWatch implements AutoCloseable {
    /** How often the file is looked at, in ms: it may change without a signal; a look costs one small read. */
    private static final long PERIOD_MILLIS = 1_000;

    private final Path file;
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
     * @param reader takes what is read
     */
    SettingsWatch(Path file, String text, SettingsReader reader) {
        this.file = file;
        this.reader = reader;
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

    private void look(boolean wasAsked) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException unreadable) {
            text = "";
        }
        if (wasAsked || !text.equals(lastRead)) {
            lastRead = text;
            take(text, wasAsked ? "signal" : "file");
        }
    }

    private void take(String text, String because) {
        SettingsReader.Outcome outcome = reader.read(taken, text);
        if (outcome instanceof SettingsReader.Taken changed) {
            taken = text;
            log.info(
                    "settings_read",
                    "because",
                    because,
                    "in_force",
                    joined(changed.inForce()),
                    "need_restart",
                    joined(changed.needRestart()));
        } else if (outcome instanceof SettingsReader.Rejected rejected) {
            log.warn(
                    "settings_unreadable",
                    "because",
                    because,
                    "file",
                    file.toString(),
                    "problems",
                    String.join("; ", rejected.problems()));
        }
    }

    private static String joined(List<String> keys) {
        return keys.isEmpty() ? "none" : String.join(",", keys);
    }

    @Override
    public void close() {
        thread.shutdown();
    }
}
