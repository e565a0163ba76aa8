package org.rattanrudder.daemon.relay.process;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogEra;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.port.StoreDialect;

/**
 * The era of the platform's store, which rises each time that the store comes back from an older copy.
 *
 * <p>Every answer of the store passes through here before anything is made of it: none of an earlier era is believed,
 * and the first one of a later era tells all that know something of the store that it may be so no more.
 */
public final class StoreEra {
    /** The reason of a call whose answer was the first of a later era. */
    public static final String NEW_ERA = "new_era";

    private static final String OLD_ERA = "old_era";

    private final EventLog log;
    private final StoreDialect dialect;
    private final Supplier<Moment> clock;
    private final LogEra era = new LogEra();
    private final List<Runnable> listeners = new ArrayList<>();

    /** Creates the era of a store that has answered nothing. */
    StoreEra(EventLog log, StoreDialect dialect, Supplier<Moment> clock) {
        this.log = log;
        this.dialect = dialect;
        this.clock = clock;
    }

    /** Returns the newest era that an answer has named; 0 before the first. */
    public long current() {
        return era.current();
    }

    /** Returns whether an answer that names an era can show that nothing was unread when it was asked for. */
    public boolean isProof(OptionalLong named, Moment askedAt) {
        return era.isProof(named, askedAt.atLeastMillis());
    }

    /** Sets a further one that is called when an era begins, before anything of it is read. */
    public void addListener(Runnable onNewEra) {
        listeners.add(onNewEra);
    }

    /**
     * Returns what may be made of the store's answer to a call: the answer if it is of the current era. An answer of
     * another era is as good as none, since what the call asked for refers to positions of the current one.
     */
    public CallResult accept(CallResult result) {
        return accept(result, namedBy(result));
    }

    /** Returns the era that the store names in its answer to a call; empty if it names none, or hasn't answered. */
    public OptionalLong namedBy(CallResult result) {
        return result instanceof CallResult.Answered answered
                ? dialect.readEra(answered.response().headers())
                : OptionalLong.empty();
    }

    /** Returns what may be made of an answer of the store that came with the era in some other way. */
    public CallResult accept(CallResult result, OptionalLong named) {
        if (!(result instanceof CallResult.Answered)) {
            return result;
        }
        long before = era.current();
        return switch (era.observe(named, clock.get().atLeastMillis())) {
            case CURRENT -> result;
            case OLDER -> new CallResult.Unanswered(OLD_ERA);
            case NEWER -> {
                log.warn("store_returned", "era", Long.toString(era.current()), "before", Long.toString(before));
                listeners.forEach(Runnable::run);
                yield new CallResult.Unanswered(NEW_ERA);
            }
        };
    }
}
