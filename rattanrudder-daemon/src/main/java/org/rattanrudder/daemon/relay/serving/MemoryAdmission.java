package org.rattanrudder.daemon.relay.serving;

import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.core.memory.UploadLine;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Asks the budget of held bytes before callers' requests are read, and gives large bodies their turns. */
public final class MemoryAdmission {
    /** Rejected callers are told times that differ by up to this much. */
    private static final long RETURN_SPREAD_MILLIS = 500;

    /** When a caller should return whose small request found no room: the requests that hold it are short. */
    private static final long SMALL_RETRY_MILLIS = 300;

    /** The share of what may be held of responses above which less is read for each slow caller. */
    private static final double RESPONSES_SHARE = 0.5;

    private final RelayState state;
    private final ByteBudget budget;
    private final UploadLine<CallerConnection> uploads;
    private boolean updateScheduled;

    /** Creates an admission with no request waiting. */
    public MemoryAdmission(RelayState state) {
        this.state = state;
        budget = state.heldBytes();
        uploads = new UploadLine<>(budget);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_uploads_waiting",
                        "Requests whose large bodies wait for room",
                        uploads::size);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_upload_bytes_waiting",
                        "Bytes of the large bodies that wait for room",
                        uploads::waitingBytes);
    }

    /** Returns an empty body of a request. */
    RequestBody body(String caller, int maxBytes) {
        return new RequestBody(budget, caller, maxBytes, grantedAt -> {
            uploads.onGivenBack(state.nowMillis() - grantedAt);
            scheduleUpdate();
        });
    }

    /** Returns what takes the bytes that a connection holds beside the request that is served. */
    Holding holding(ByteUse use, String caller) {
        return budget.holding(use, caller);
    }

    /**
     * Gives a large body its turn, at once or later, or rejects its request, at once or later: by a call of {@link
     * CallerConnection#onUploadGranted} or {@link CallerConnection#onUploadRejected}.
     */
    void ask(UploadLine.Upload<CallerConnection> upload) {
        uploads.add(upload);
        update();
    }

    /** Takes a request out of the line that has ended. */
    void withdraw(CallerConnection caller) {
        uploads.remove(caller);
        scheduleUpdate();
    }

    /** Goes through the line; called periodically too, since waiting requests become hopeless by time alone. */
    public void update() {
        UploadLine.Outcome<CallerConnection> outcome = uploads.update(state.nowMillis());
        outcome.granted().forEach(CallerConnection::onUploadGranted);
        outcome.rejected().forEach(caller -> caller.onUploadRejected(spread(outcome.retryAfterMillis())));
    }

    /** Returns whether so much is held for callers that slow ones get more only once they have taken what they got. */
    boolean responsesAreMany() {
        return budget.held(ByteUse.RESPONSE) > RESPONSES_SHARE * budget.limit(ByteUse.RESPONSE);
    }

    private void scheduleUpdate() {
        if (uploads.size() > 0 && !updateScheduled) {
            updateScheduled = true;
            state.loop().execute(() -> {
                updateScheduled = false;
                update();
            });
        }
    }

    /** Returns when the caller of a small request that found no room should return, in ms. */
    long smallRetryMillis() {
        return spread(SMALL_RETRY_MILLIS);
    }

    private long spread(long millis) {
        return millis + state.random().nextLong(RETURN_SPREAD_MILLIS);
    }

    /** Records that a request was rejected for want of room. */
    void onRejected(ByteUse use, String caller, String requestId, long wantedBytes) {
        state.metrics().recordRejectedForMemory(use);
        state.log()
                .info(
                        "rejected_for_memory",
                        "request",
                        requestId,
                        "use",
                        use.wireName(),
                        "caller",
                        caller,
                        "wanted_bytes",
                        Long.toString(wantedBytes),
                        "caller_bytes",
                        Long.toString(budget.heldBy(use, caller)),
                        "held_bytes",
                        Long.toString(budget.held(use)),
                        "limit_bytes",
                        Long.toString(budget.limit(use)),
                        "waiting",
                        Integer.toString(uploads.size()));
    }
}
