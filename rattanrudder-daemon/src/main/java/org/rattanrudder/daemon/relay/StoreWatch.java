package org.rattanrudder.daemon.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StorePollSchedule;
import org.rattanrudder.core.parts.StoreUpdate;
import org.rattanrudder.daemon.relay.port.EngineDialect;

/** Follows what one context store holds, and tells the directory and the other relays. */
final class StoreWatch implements AutoCloseable {
    /** How long a call waits for changes, in ms; short enough that what is known stays fresh between two answers. */
    private static final long WAIT_MILLIS = 400;

    /** The shortest wait that stores don't charge for, in ms; used to catch up on what was missed. */
    private static final long CATCH_UP_MILLIS = 200;

    /**
     * Events in one message to other relays, some 45 bytes each. Answers hold fewer but at a start, when others ask for
     * themselves: of several messages one could be lost without a trace.
     */
    private static final int TOLD_EVENTS = 300;

    private static final long TIMEOUT_MILLIS = 900;
    private static final long RETRY_MILLIS = 300;

    /** A full listing stalls the store; gaps in the events are made good by one at most so often, in ms. */
    private static final long LISTING_EVERY_MILLIS = 5_000;

    private final RelayState state;
    private final StepTimer timer;
    private final Address address;
    private final StorePollSchedule duty;
    private final Consumer<SharedStoreUpdate> tell;
    private final EngineDialect dialect;
    private final CallLine line;
    private long since;
    private long incarnation = -1;
    private long listedAt = Long.MIN_VALUE / 2;
    private boolean answering = true;
    private boolean behind = true;

    StoreWatch(RelayState state, String self, Address address, Consumer<SharedStoreUpdate> tell) {
        this.state = state;
        timer = new StepTimer(state.loop());
        this.tell = tell;
        this.address = address;
        duty = new StorePollSchedule(self, address);
        dialect = state.platform().engines();
        line = new CallLine(state.connector(), () -> address);
    }

    void start() {
        ask();
    }

    private void ask() {
        if (line.isBusy()) {
            return;
        }
        long asked = state.nowMillis();
        long wait = behind ? CATCH_UP_MILLIS : WAIT_MILLIS;
        line.call(dialect.pollChanges(since, wait), TIMEOUT_MILLIS, answer -> {
            Optional<StoreUpdate> news = read(answer, true);
            if (news.isEmpty()) {
                lost(answer);
                return;
            }
            changed(news.get(), asked);
        });
    }

    private void changed(StoreUpdate news, long asked) {
        regained();
        boolean restarted = news.incarnation() != incarnation;
        boolean first = incarnation < 0;
        incarnation = news.incarnation();
        if (restarted && since > 0) {
            // Events are numbered anew after a restart: those of the old numbers say nothing.
            state.log().warn("context_store_restarted", "store", address.toString());
            since = 0;
            timer.next(this::ask, 0);
            return;
        }
        state.directory().applyStoreUpdate(address, news, asked, state.nowMillis());
        if (news.events().size() <= TOLD_EVENTS) {
            tell.accept(new SharedStoreUpdate(address, since, news, state.nowMillis() - asked));
        }
        behind = false;
        since = news.next();
        boolean due = state.nowMillis() - listedAt > LISTING_EVERY_MILLIS;
        if (news.lost() && due && (first || !restarted)) {
            list();
            return;
        }
        askLater();
    }

    /** Takes what another relay was told by the store. */
    void told(SharedStoreUpdate shared) {
        if (timer.isClosed() || incarnation < 0) {
            return;
        }
        if (shared.update().incarnation() != incarnation || shared.since() > since) {
            // A restart, or messages that were lost: the store itself knows.
            behind = true;
            timer.next(this::ask, 0);
            return;
        }
        regained();
        long now = state.nowMillis();
        state.directory().applyStoreUpdate(address, shared.update(), now - shared.ageMillis(), now);
        since = Math.max(since, shared.update().next());
        askLater();
    }

    private void askLater() {
        timer.next(this::ask, behind ? 0 : duty.pollDelayMillis(state.fleet().livePeers(state.nowMillis())));
    }

    private void list() {
        long asked = state.nowMillis();
        listedAt = asked;
        line.call(dialect.listContents(), TIMEOUT_MILLIS, answer -> {
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
            askLater();
        });
    }

    /** Frees parts that no request reads any more. */
    void free(List<PartKey> parts, long inIncarnation) {
        CallLine freeing = new CallLine(state.connector(), () -> address);
        freeing.call(dialect.evict(parts, inIncarnation), TIMEOUT_MILLIS, answer -> {
            state.log()
                    .info(
                            "parts_freed",
                            "store",
                            address.toString(),
                            "parts",
                            Integer.toString(parts.size()),
                            "answer",
                            answer.toString().startsWith("Answered")
                                    ? Integer.toString(((CallAnswer.Answered) answer).status())
                                    : "none");
            freeing.close();
        });
    }

    private Optional<StoreUpdate> read(CallAnswer answer, boolean changes) {
        if (!(answer instanceof CallAnswer.Answered answered)) {
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

    private void lost(CallAnswer answer) {
        if (answering) {
            state.log().warn("context_store_lost", "store", address.toString(), "answer", brief(answer));
        }
        answering = false;
        timer.next(this::ask, RETRY_MILLIS);
    }

    private static String brief(CallAnswer answer) {
        return answer instanceof CallAnswer.Answered answered
                ? "status " + answered.status()
                : ((CallAnswer.Unanswered) answer).reason();
    }

    private void regained() {
        if (!answering) {
            state.log().info("context_store_regained", "store", address.toString());
        }
        answering = true;
    }

    @Override
    public void close() {
        timer.close();
        line.close();
    }
}
