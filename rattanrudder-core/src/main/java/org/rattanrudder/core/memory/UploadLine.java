package org.rattanrudder.core.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * The large bodies that wait until the process may hold them, in the order in which they are read.
 *
 * <p>A body is read only once there is room for all of it, so that one which is being read never waits for another.
 * More urgent requests come first, then smaller ones, then earlier ones. One that can't have its turn in time is
 * rejected as soon as that is known. Requests of a caller that holds its share don't keep back those of others.
 *
 * <p>How soon room is made follows from how long bodies were held lately. Times are milliseconds of a monotonic clock.
 *
 * @param <T> the requests
 */
public final class UploadLine<T> {
    /** The weight of the last body in how long bodies are held. */
    private static final double HELD_MILLIS_WEIGHT = 0.2;

    /** How many times what may be held is waited for, while it isn't known how long bodies are held. */
    private static final int TURNS_WITHOUT_FORECAST = 2;

    /** When a rejected caller should return while that isn't known. */
    private static final long RETRY_MILLIS_WITHOUT_FORECAST = 1_000;

    private static final long MIN_RETRY_MILLIS = 200;

    private final ByteBudget budget;
    private final TreeSet<Waiting<T>> line = new TreeSet<>(
            Comparator.<Waiting<T>>comparingInt(waiting -> waiting.upload().priority())
                    .thenComparingLong(waiting -> waiting.upload().bytes())
                    .thenComparingLong(Waiting::number));
    private long nextNumber;
    private long waitingBytes;
    private double heldMillis;

    /** Creates a line in which nobody waits. */
    public UploadLine(ByteBudget budget) {
        this.budget = budget;
    }

    /**
     * A request with a large body.
     *
     * @param holding takes the bytes, once there is room
     * @param bytes how many bytes the body may have
     * @param priority its priority; lower numbers are more urgent
     * @param arrivedAt when its head had arrived
     * @param deadlineAt when its caller gives it up
     */
    public record Upload<T>(T request, Holding holding, long bytes, int priority, long arrivedAt, long deadlineAt) {}

    /** A place in the line. */
    private record Waiting<T>(Upload<T> upload, long number) {}

    /**
     * What has become of requests in the line; those in neither list wait on.
     *
     * @param granted those whose bodies may be read now
     * @param rejected those that won't have their turn in time
     * @param retryAfterMillis when the rejected should return
     */
    public record Outcome<T>(List<T> granted, List<T> rejected, long retryAfterMillis) {}

    /** Adds a request; {@link #update} says what becomes of it. */
    public void add(Upload<T> upload) {
        line.add(new Waiting<>(upload, nextNumber++));
        waitingBytes += upload.bytes();
    }

    /** Goes through the line: after a request was added, after room was made, and from time to time. */
    public Outcome<T> update(long nowMillis) {
        List<T> granted = new ArrayList<>();
        List<T> rejected = new ArrayList<>();
        long ahead = 0;
        boolean full = false;
        for (Iterator<Waiting<T>> places = line.iterator(); places.hasNext(); ) {
            Waiting<T> place = places.next();
            Upload<T> upload = place.upload();
            full = full || mayFit(upload) && isFull(upload.bytes());
            if (!full && tryGrant(place)) {
                granted.add(upload.request());
            } else if (isHopeless(upload, ahead, nowMillis)) {
                rejected.add(upload.request());
            } else {
                ahead += upload.bytes();
                continue;
            }
            places.remove();
            waitingBytes -= upload.bytes();
        }
        return new Outcome<>(granted, rejected, retryAfterMillis());
    }

    /** Removes a request that has ended, if it waits. */
    public void remove(T request) {
        for (Iterator<Waiting<T>> places = line.iterator(); places.hasNext(); ) {
            Upload<T> upload = places.next().upload();
            if (upload.request().equals(request)) {
                places.remove();
                waitingBytes -= upload.bytes();
                return;
            }
        }
    }

    /** Records for how long a large body was held, from its grant to the end of its request, in ms. */
    public void onGivenBack(long millis) {
        heldMillis = heldMillis == 0 ? millis : heldMillis + HELD_MILLIS_WEIGHT * (millis - heldMillis);
    }

    /** Returns how many requests wait. */
    public int size() {
        return line.size();
    }

    /** Returns how many bytes they wait for. */
    public long waitingBytes() {
        return waitingBytes;
    }

    private static <T> boolean tryGrant(Waiting<T> waiting) {
        return waiting.upload().holding().tryGrowTo(waiting.upload().bytes());
    }

    /** Returns whether there may ever be room for it. */
    private boolean mayFit(Upload<T> upload) {
        return upload.bytes() <= budget.largest(ByteUse.UPLOAD);
    }

    /** Returns whether there is no room for so many bytes, whoever wants them. */
    private boolean isFull(long bytes) {
        return budget.limit(ByteUse.UPLOAD) - budget.held(ByteUse.UPLOAD) < bytes;
    }

    /** Returns whether a request won't have its turn early enough for its body to be read and served in time. */
    private boolean isHopeless(Upload<T> upload, long aheadBytes, long nowMillis) {
        if (!mayFit(upload)) {
            return true;
        }
        if (heldMillis == 0) {
            long halfTime = (upload.arrivedAt() + upload.deadlineAt()) / 2;
            return nowMillis > halfTime || turns(aheadBytes + upload.bytes()) > TURNS_WITHOUT_FORECAST;
        }
        return nowMillis + turns(aheadBytes + upload.bytes()) * heldMillis + heldMillis > upload.deadlineAt();
    }

    /** Returns how many times all that may be held must be given back before so many bytes had their turn. */
    private double turns(long bytes) {
        return bytes / (double) Math.max(1, ByteBudget.ofOneCaller(budget.limit(ByteUse.UPLOAD)));
    }

    private long retryAfterMillis() {
        return heldMillis == 0
                ? RETRY_MILLIS_WITHOUT_FORECAST
                : Math.max(MIN_RETRY_MILLIS, (long) (turns(waitingBytes) * heldMillis));
    }
}
