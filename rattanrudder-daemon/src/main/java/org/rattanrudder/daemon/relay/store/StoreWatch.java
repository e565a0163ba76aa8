package org.rattanrudder.daemon.relay.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StorePollSchedule;
import org.rattanrudder.core.parts.StoreUpdate;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.EngineDialect;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.SelfReports;

/** Long-polls one context store for changes of its parts, and passes them to the part directory and to peers. */
final class StoreWatch implements AutoCloseable {
    /** The wait of a long poll, short enough that the directory stays fresh between two answers. */
    private static final long POLL_WAIT_MILLIS = 400;

    /** The shortest wait that stores don't charge for; used to catch up on missed events. */
    private static final long CATCH_UP_WAIT_MILLIS = 200;

    /**
     * Limit of events in one message to peers, at some 45 bytes each. Larger updates occur only at a start, when peers
     * poll the store themselves. They are not split, since the loss of one of several messages would go unnoticed.
     */
    private static final int MAX_SHARED_EVENTS = 300;

    private static final long TIMEOUT_MILLIS = 900;
    private static final long RETRY_DELAY_MILLIS = 300;

    /** Minimum interval of full listings, which fill gaps in the events but stall the store. */
    private static final long MIN_LISTING_INTERVAL_MILLIS = 5_000;

    private final RelayState state;
    private final SelfReports selfReports;
    private final StepTimer timer;
    private final Address address;
    private final StorePollSchedule pollSchedule;
    private final Consumer<SharedStoreUpdate> updateSender;
    private final EngineDialect dialect;
    private final HttpCallClient client;
    private long since;
    private long incarnation = -1;
    private long listedAt = Long.MIN_VALUE / 2;
    private long restUntil = Long.MIN_VALUE / 2;
    private boolean available = true;
    private boolean behind = true;

    /**
     * Creates a watch that makes no calls until {@link #start}.
     *
     * @param relayId names this process of the relay, and orders the polls of relays
     * @param updateSender sends an update of the store to peers
     */
    StoreWatch(
            RelayState state,
            SelfReports selfReports,
            String relayId,
            Address address,
            Consumer<SharedStoreUpdate> updateSender) {
        this.state = state;
        this.selfReports = selfReports;
        timer = new StepTimer(state.loop());
        this.updateSender = updateSender;
        this.address = address;
        pollSchedule = new StorePollSchedule(relayId, address);
        dialect = state.platform().engines();
        client = HttpCallClient.forLists(state.connector(), state.heldBytes(), () -> address);
    }

    /** Starts to poll the store. */
    void start() {
        poll();
    }

    private void poll() {
        if (client.isBusy()) {
            return;
        }
        long asked = state.nowMillis();
        if (asked < restUntil) {
            timer.reschedule(this::poll, restUntil - asked);
            return;
        }
        long wait = behind ? CATCH_UP_WAIT_MILLIS : POLL_WAIT_MILLIS;
        client.call(dialect.pollChanges(since, wait), TIMEOUT_MILLIS, answer -> {
            Optional<StoreUpdate> update = read(answer, true);
            if (update.isEmpty()) {
                onUnavailable(answer);
                return;
            }
            onUpdate(update.get(), asked);
        });
    }

    private void onUpdate(StoreUpdate update, long asked) {
        onAvailable();
        boolean restarted = update.incarnation() != incarnation;
        boolean first = incarnation < 0;
        incarnation = update.incarnation();
        if (restarted && since > 0) {
            // Event numbers restart with the store: offsets of the earlier incarnation are invalid.
            state.log().warn("context_store_restarted", "store", address.toString());
            since = 0;
            timer.reschedule(this::poll, 0);
            return;
        }
        state.directory().applyStoreUpdate(address, update, asked, state.nowMillis());
        if (update.events().size() <= MAX_SHARED_EVENTS) {
            updateSender.accept(new SharedStoreUpdate(address, since, update, state.nowMillis() - asked));
        }
        behind = false;
        since = update.next();
        boolean due = state.nowMillis() - listedAt > MIN_LISTING_INTERVAL_MILLIS;
        if (update.lost() && due && (first || !restarted)) {
            list();
            return;
        }
        schedulePoll();
    }

    /** Applies an update that a peer has received from the store. */
    void onSharedUpdate(SharedStoreUpdate shared) {
        if (timer.isClosed() || incarnation < 0) {
            return;
        }
        if (shared.update().incarnation() != incarnation || shared.since() > since) {
            // The store has restarted, or messages were lost: poll the store itself.
            behind = true;
            timer.reschedule(this::poll, 0);
            return;
        }
        onAvailable();
        long now = state.nowMillis();
        state.directory().applyStoreUpdate(address, shared.update(), now - shared.ageMillis(), now);
        since = Math.max(since, shared.update().next());
        schedulePoll();
    }

    private void schedulePoll() {
        long now = state.nowMillis();
        long delay = behind ? 0 : pollSchedule.pollDelayMillis(state.fleet().livePeers(now));
        timer.reschedule(this::poll, Math.max(delay, restUntil - now));
    }

    private void list() {
        long asked = state.nowMillis();
        listedAt = asked;
        client.call(dialect.listContents(), TIMEOUT_MILLIS, answer -> {
            read(answer, false).ifPresent(all -> {
                state.directory().applyStoreUpdate(address, all, asked, state.nowMillis());
                since = all.next();
                state.log()
                        .info(
                                "context_store_listed",
                                "store",
                                address.toString(),
                                "parts",
                                Integer.toString(all.events().size()));
            });
            schedulePoll();
        });
    }

    /**
     * Evicts parts that no request reads any more.
     *
     * @param weightsBefore the version of weights before which parts are outdated
     */
    void evict(List<PartKey> parts, long weightsBefore, long inIncarnation) {
        if (state.nowMillis() < restUntil) {
            return;
        }
        HttpCallClient evictionClient = new HttpCallClient(state.connector(), state.heldBytes(), () -> address);
        evictionClient.call(dialect.evict(parts, inIncarnation), TIMEOUT_MILLIS, answer -> {
            heedRest(answer);
            state.log()
                    .info(
                            "parts_freed",
                            "store",
                            address.toString(),
                            "parts",
                            Integer.toString(parts.size()),
                            "weights_before",
                            Long.toString(weightsBefore),
                            "answer",
                            answer instanceof CallResult.Answered answered
                                    ? Integer.toString(answered.status())
                                    : "none");
            evictionClient.close();
        });
    }

    private Optional<StoreUpdate> read(CallResult answer, boolean changes) {
        heedRest(answer);
        if (!(answer instanceof CallResult.Answered answered)) {
            return Optional.empty();
        }
        try {
            return changes
                    ? dialect.readChanges(answered.status(), answered.body())
                    : dialect.readContents(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            state.log()
                    .warn(
                            "context_store_unreadable",
                            "store",
                            address.toString(),
                            "reason",
                            String.valueOf(malformed.getMessage()));
            return Optional.empty();
        }
    }

    private void heedRest(CallResult answer) {
        long rest = selfReports.onStoreAnswered(address, answer);
        if (rest > 0) {
            restUntil = Math.max(restUntil, state.nowMillis() + rest);
        }
    }

    private void onUnavailable(CallResult answer) {
        if (available) {
            state.log().warn("context_store_lost", "store", address.toString(), "answer", describe(answer));
        }
        available = false;
        timer.reschedule(this::poll, Math.max(RETRY_DELAY_MILLIS, restUntil - state.nowMillis()));
    }

    private static String describe(CallResult answer) {
        return answer instanceof CallResult.Answered answered
                ? "status " + answered.status()
                : ((CallResult.Unanswered) answer).reason();
    }

    private void onAvailable() {
        if (!available) {
            state.log().info("context_store_regained", "store", address.toString());
        }
        available = true;
    }

    @Override
    public void close() {
        timer.close();
        client.close();
    }
}
