package org.rattanrudder.daemon.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.wire.http.HttpCaller;

/** The followers of a process, one for each stream that it reads. */
public final class LogFollowers {
    private final Map<LogStream, LogFollower> followers = new EnumMap<>(LogStream.class);

    /**
     * Creates followers that read from {@link #start} on.
     *
     * @param caller the HTTP client
     * @param timer runs their reads
     * @param log the address of the log service
     * @param streams the streams to follow
     * @param listener receives the records of all streams
     * @param availabilityListener notified of failures
     */
    public LogFollowers(
            HttpCaller caller,
            ScheduledExecutorService timer,
            Address log,
            Set<LogStream> streams,
            LogFollower.Listener listener,
            LogFollower.AvailabilityListener availabilityListener) {
        for (LogStream stream : streams) {
            followers.put(stream, new LogFollower(caller, timer, log, stream, listener, availabilityListener));
        }
    }

    /** Reads all streams from now on. */
    public void start() {
        followers.values().forEach(LogFollower::start);
    }

    /** Handles a batch that is being appended to a followed stream. */
    void onAppending(LogStream stream) {
        followers.get(stream).expectRecord();
    }

    /** Handles a batch that is in a followed stream, or may be. */
    void onAppended(LogStream stream) {
        followers.get(stream).readNow();
    }
}
