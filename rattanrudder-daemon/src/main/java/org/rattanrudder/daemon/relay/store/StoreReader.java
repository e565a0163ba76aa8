package org.rattanrudder.daemon.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.RepeatingCallClient;
import org.rattanrudder.daemon.relay.net.RepeatingCallClient.Outcome;
import org.rattanrudder.daemon.relay.port.StoreRead;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.process.StoreEra;
import org.rattanrudder.daemon.relay.process.StoreRoute;

/**
 * Makes reads of the platform's store, one at a time; a read that the store refuses is made by a peer.
 *
 * <p>The peer calls the store once it is asked, so its answer proves as much as the store's own: nothing that was
 * written before the read was asked for is missing from it. While the store refuses this relay, peers are asked first,
 * and the store only if none of them can read either.
 */
final class StoreReader implements AutoCloseable {
    /** Why this relay hasn't taken an answer of the store, which didn't refuse the read. */
    private static final Set<String> OWN_FAILURES = Set.of("malformed", "too_long", "no_room");

    /** How many peers are asked for a read at most. */
    private static final int MAX_PEERS_ASKED = 4;

    /** Maximum number of peers that make the same read at a time: all their answers share this relay's link. */
    private static final int MAX_PEERS_AT_ONCE = 2;

    /** A peer receives the whole answer before it hands it on, so both transfers add up. */
    private static final int HOPS = 2;

    private final RelayState state;
    private final StoreRoute route;
    private final String use;
    private final RepeatingCallClient direct;
    private Optional<RepeatingCallClient> throughPeers = Optional.empty();

    /** The live peers when the read in progress was begun, and those of them that were asked for it. */
    private List<Address> peers = List.of();

    private final List<Address> asked = new ArrayList<>();
    private long maxRecordsBytes = Long.MAX_VALUE;
    private boolean closed;

    /**
     * Creates a reader that makes no calls until it is asked.
     *
     * @param use names its calls in metrics and logs
     * @param maxCalls how many times a call is made at the store at most while its answer is late, the first included
     */
    StoreReader(RelayState state, String use, int maxCalls) {
        this.state = state;
        this.use = use;
        route = state.storeRoute();
        direct = new RepeatingCallClient(
                state.loop(),
                state.clock()::now,
                maxCalls,
                () -> HttpCallClient.forLists(state.connector(), state.heldBytes(), state::store, state.storeCalls())
                        .limitReceived(() -> maxRecordsBytes));
    }

    /**
     * How a read has ended.
     *
     * @param result the answer, or why there is none that may be believed
     * @param askedAt when it was asked for
     * @param isProof whether nothing that was written before can be missing from the answer
     */
    record Answer(CallResult result, Moment askedAt, boolean isProof) {
        private static Answer failed(Outcome outcome) {
            return new Answer(outcome.result(), outcome.askedAt(), false);
        }
    }

    /** A read in progress; no call is begun for it from {@code deadline} on, in ms. */
    private record Pending(StoreRead read, long timeoutMillis, long deadline, Consumer<Answer> then) {}

    /** Returns whether a read is in progress. */
    boolean isBusy() {
        return direct.isBusy()
                || throughPeers.filter(RepeatingCallClient::isBusy).isPresent();
    }

    /**
     * Makes a read.
     *
     * @param timeoutMillis time after which a call at the store fails, in ms
     * @param totalMillis time after which the read is given up, calls of peers included, in ms
     * @param then called once with the answer, unless the read is cancelled
     */
    void read(StoreRead read, long timeoutMillis, long totalMillis, Consumer<Answer> then) {
        Pending pending = new Pending(read, timeoutMillis, state.nowMillis() + totalMillis, then);
        if (route.isRefused() && route.mayAskPeers()) {
            readThroughPeers(pending, failed -> readDirectlyInstead(pending, failed));
        } else {
            readDirectly(pending, refused -> readThroughPeersInstead(pending, refused));
        }
    }

    /** Has the next read at the store given up if its answer is longer than this, in bytes. */
    void limitNext(long maxBytes) {
        maxRecordsBytes = maxBytes;
    }

    private long millisLeft(Pending pending) {
        return pending.deadline() - state.nowMillis();
    }

    private void readDirectlyInstead(Pending pending, Outcome failed) {
        if (millisLeft(pending) > 0) {
            readDirectly(pending, refused -> pending.then().accept(Answer.failed(refused)));
        } else {
            pending.then().accept(Answer.failed(failed));
        }
    }

    private void readThroughPeersInstead(Pending pending, Outcome refused) {
        if (millisLeft(pending) > 0 && route.mayAskPeers()) {
            readThroughPeers(pending, failed -> pending.then().accept(Answer.failed(refused)));
        } else {
            pending.then().accept(Answer.failed(refused));
        }
    }

    private void readDirectly(Pending pending, Consumer<Outcome> otherwise) {
        long timeoutMillis = Math.min(pending.timeoutMillis(), millisLeft(pending));
        direct.call(pending.read().call(state.platform().store()), timeoutMillis, outcome -> {
            if (closed) {
                return;
            }
            recordCalls(outcome);
            CallResult result = outcome.result();
            boolean refused = !result.isServed() && !isOwnFailure(pending.read(), result.reason(), timeoutMillis);
            if (refused) {
                route.onRefused(result.reason());
            } else if (result.isServed()) {
                route.onServed();
            }
            Answer answer = accept(outcome, state.storeEra().namedBy(result));
            if (refused && answer.result() == result) {
                otherwise.accept(outcome);
            } else {
                pending.then().accept(answer);
            }
        });
    }

    private Answer accept(Outcome outcome, OptionalLong named) {
        StoreEra era = state.storeEra();
        CallResult accepted = era.accept(outcome.result(), named);
        return new Answer(accepted, outcome.askedAt(), era.isProof(named, outcome.askedAt()));
    }

    /**
     * A read with less time than the store may take for an answer doesn't show that it answers nothing. Records that
     * arrive too slowly would arrive no sooner from a peer.
     */
    private static boolean isOwnFailure(StoreRead read, String reason, long timeoutMillis) {
        boolean unfinished = reason.equals(HttpCallClient.UNFINISHED);
        return OWN_FAILURES.contains(reason)
                || unfinished && read instanceof StoreRead.From
                || (unfinished || reason.equals("timeout")) && timeoutMillis < TopicReader.TIMEOUT_MILLIS;
    }

    private void readThroughPeers(Pending pending, Consumer<Outcome> otherwise) {
        peers = route.peers();
        if (peers.isEmpty()) {
            // The last one has ceased to be live since it was looked for.
            Moment now = state.clock().now();
            otherwise.accept(new Outcome(new CallResult.Unanswered("no_peer"), now, now, false, 0));
            return;
        }
        RepeatingCallClient client = throughPeers.orElseGet(this::newPeersClient);
        throughPeers = Optional.of(client);
        asked.clear();
        long until = Math.min(pending.deadline(), state.nowMillis() + HOPS * pending.timeoutMillis());
        askNextPeer(client, new Pending(pending.read(), pending.timeoutMillis(), until, pending.then()), otherwise);
    }

    private RepeatingCallClient newPeersClient() {
        return new RepeatingCallClient(
                state.loop(),
                state.clock()::now,
                MAX_PEERS_AT_ONCE,
                () -> HttpCallClient.forLists(state.connector(), state.heldBytes(), this::nextPeer));
    }

    /** Each repeat asks another peer, since one may have ended or be unreachable without a sign. */
    private Address nextPeer() {
        Address next =
                peers.stream().filter(peer -> !asked.contains(peer)).findFirst().orElse(peers.get(0));
        asked.add(next);
        return next;
    }

    private void askNextPeer(RepeatingCallClient client, Pending pending, Consumer<Outcome> otherwise) {
        int askedBefore = asked.size();
        client.call(PeerReadFormat.write(pending.read()), millisLeft(pending), outcome -> {
            if (closed) {
                return;
            }
            boolean made = isMade(outcome);
            state.metrics().recordReadByPeers(made);
            asked.subList(askedBefore, askedBefore + peersInVain(outcome)).forEach(route::onPeerFailed);
            if (made) {
                pending.then().accept(accept(outcome, PeerReadFormat.readEra(outcome.result())));
            } else if (millisLeft(pending) > 0 && asked.size() < Math.min(MAX_PEERS_ASKED, peers.size())) {
                askNextPeer(client, pending, otherwise);
            } else {
                route.onPeersFailed();
                otherwise.accept(outcome);
            }
        });
    }

    /** A peer of an earlier release doesn't say of which era its answer is: it may be of any. */
    private boolean isMade(Outcome outcome) {
        return outcome.result().isServed()
                && (state.storeEra().current() == 0
                        || PeerReadFormat.readEra(outcome.result()).isPresent());
    }

    /** Returns how many of the peers that were asked, from the first on, haven't made the read, or not in time. */
    private int peersInVain(Outcome outcome) {
        if (!isMade(outcome)) {
            return outcome.calls();
        }
        return outcome.repeated() ? 1 : 0;
    }

    private void recordCalls(Outcome outcome) {
        for (int made = 0; made < outcome.calls(); made++) {
            state.metrics().recordStoreCall(use);
        }
        if (!(outcome.result() instanceof CallResult.Answered)) {
            return;
        }
        long takenMillis = state.nowMillis() - outcome.beganAt().atLeastMillis();
        state.metrics().recordStoreAnswer(use, takenMillis);
        if (outcome.repeated()) {
            state.log()
                    .warn(
                            "store_answer_late",
                            "topic",
                            use,
                            "answered_after_ms",
                            Long.toString(takenMillis),
                            "calls",
                            Integer.toString(outcome.calls()));
        }
    }

    /** Cancels the read in progress, and closes the connections; the next one opens new ones. */
    void cancel() {
        direct.cancel();
        throughPeers.ifPresent(RepeatingCallClient::cancel);
    }

    @Override
    public void close() {
        closed = true;
        direct.close();
        throughPeers.ifPresent(RepeatingCallClient::close);
    }
}
