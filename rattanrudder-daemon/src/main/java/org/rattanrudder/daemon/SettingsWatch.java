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
 * Reloads a settings file on a signal and whenever a regular check finds that it has changed.
 *
 * <p>It has a thread of its own, so that a slow disk delays no request.
 */
final class SettingsWatch implements AutoCloseable {
    /** The interval of the checks: the file may change without a signal, and a check costs only one small read. */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final Path file;
    private final String initialText;
    private final Set<String> changeable;
    private final SettingsReader reader;
    private final EventLog log = new EventLog(Logger.getLogger(SettingsWatch.class), new MonotonicClock());
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, SettingsWatch::daemon);
    private final AtomicBoolean reloadPending = new AtomicBoolean();
    private String appliedText;
    private String lastRead;

    /**
     * Creates a watch; it checks the file from {@link #start} on.
     *
     * @param file the settings file
     * @param text the settings that the process was started with
     * @param changeable the keys that can change at run time
     * @param reader applies the settings that were read
     */
    SettingsWatch(Path file, String text, Set<String> changeable, SettingsReader reader) {
        this.file = file;
        this.changeable = changeable;
        this.reader = reader;
        initialText = text;
        appliedText = text;
        lastRead = text;
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "settings");
        thread.setDaemon(true);
        return thread;
    }

    /** Starts checking the file. */
    void start() {
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        thread.scheduleWithFixedDelay(
                () -> check(false), CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reloads the file now; calls before that reload has started are merged into one. */
    void reloadNow() {
        if (!thread.isShutdown() && reloadPending.compareAndSet(false, true)) {
            thread.execute(() -> {
                reloadPending.set(false);
                check(true);
            });
        }
    }

    /** Checks the file; an uncaught exception would silently cancel all further checks. */
    private void check(boolean requested) {
        String because = requested ? "signal" : "file";
        try {
            String text = Files.readString(file);
            if (requested || !text.equals(lastRead)) {
                lastRead = text;
                apply(text, because);
            }
        } catch (IOException | RuntimeException failed) {
            boolean first = !lastRead.isEmpty();
            lastRead = "";
            if (requested || first) {
                logUnreadable(because, failed.toString());
            }
        }
    }

    private void apply(String text, String because) {
        List<String> problems = reader.apply(text);
        if (!problems.isEmpty()) {
            logUnreadable(because, String.join("; ", problems));
            return;
        }
        List<String> inForce = SettingsDifference.keys(appliedText, text);
        List<String> needRestart = SettingsDifference.keys(initialText, text);
        appliedText = text;
        log.info(
                "settings_read",
                "because",
                because,
                "in_force",
                joined(inForce.stream().filter(changeable::contains)),
                "need_restart",
                joined(needRestart.stream().filter(key -> !changeable.contains(key))));
    }

    private void logUnreadable(String because, String problems) {
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
