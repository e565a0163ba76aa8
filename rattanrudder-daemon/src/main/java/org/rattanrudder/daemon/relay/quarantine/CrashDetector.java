package org.rattanrudder.daemon.relay.quarantine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;
import org.rattanrudder.daemon.relay.targets.DialResult;

/**
 * Distinguishes a crash of a target from broken connections: after a crash no process listens at its address.
 *
 * <p>An ending process may close its connections before its listening socket. A successful dial therefore proves that
 * the target is alive only if the new connection stays open.
 */
final class CrashDetector {
    /** How long to collect the requests whose connections were broken by the same crash. */
    private static final long COLLECT_MILLIS = 20;

    /** How long a new connection must stay open to prove that its target is alive. */
    static final long MIN_OPEN_MILLIS = 100;

    /** Dials after which a target whose connections don't stay open counts as alive. */
    static final int MAX_DIALS = 4;

    private final EventLoop loop;
    private final LongSupplier unixMillis;
    private final Map<Target, Broken> brokenByTarget = new HashMap<>();
    private BiConsumer<Target, Consumer<DialResult>> probe = (target, then) -> {};
    private BiConsumer<Target, Broken> crashListener = (target, broken) -> {};
    private BiConsumer<Target, UnconfirmedCrash> unconfirmedListener = (target, unconfirmed) -> {};

    /** The requests whose connections to a target broke, and when the first one did, as a Unix time. */
    record Broken(long atMillis, List<SuspectRequest> requests) {}

    /** Why broken connections of so many requests weren't taken for a crash: how many dials, and how the last ended. */
    record UnconfirmedCrash(DialResult.Outcome lastDial, int dials, int requests) {}

    /** Creates a detector with a clock that gives Unix times in ms. */
    CrashDetector(EventLoop loop, LongSupplier unixMillis) {
        this.loop = loop;
        this.unixMillis = unixMillis;
    }

    /**
     * Sets the handlers.
     *
     * @param newProbe dials a target
     * @param newCrashListener takes crashes, with the requests that were running there
     * @param newUnconfirmedListener takes the targets whose connections broke, and of which no dial has shown a crash
     */
    void setHandlers(
            BiConsumer<Target, Consumer<DialResult>> newProbe,
            BiConsumer<Target, Broken> newCrashListener,
            BiConsumer<Target, UnconfirmedCrash> newUnconfirmedListener) {
        probe = newProbe;
        crashListener = newCrashListener;
        unconfirmedListener = newUnconfirmedListener;
    }

    /**
     * Records that a request's connection to its target broke in the middle of an attempt.
     *
     * @param heldMillis how long ago the request was sent to the target
     */
    void onConnectionBroken(Target target, Set<Feature> features, long heldMillis) {
        long now = unixMillis.getAsLong();
        Broken known = brokenByTarget.get(target);
        if (known != null) {
            known.requests().add(new SuspectRequest(features, Math.max(0, known.atMillis() - now + heldMillis)));
        } else if (!target.isLeaving()) {
            brokenByTarget.put(
                    target, new Broken(now, new ArrayList<>(List.of(new SuspectRequest(features, heldMillis)))));
            dial(target, 1);
        }
    }

    private void dial(Target target, int dials) {
        probe.accept(target, found -> onDialed(target, found, dials));
    }

    private void onDialed(Target target, DialResult found, int dials) {
        switch (found.outcome()) {
            case REFUSED -> schedule(() -> crashListener.accept(target, brokenByTarget.remove(target)), COLLECT_MILLIS);
            case OPENED, BROKEN -> schedule(() -> recheck(target, found, dials), MIN_OPEN_MILLIS);
            default -> endUnconfirmed(target, found, dials);
        }
    }

    private void recheck(Target target, DialResult found, int dials) {
        if (found.isStillOpen() || dials >= MAX_DIALS) {
            endUnconfirmed(target, found, dials);
        } else {
            dial(target, dials + 1);
        }
    }

    private void endUnconfirmed(Target target, DialResult found, int dials) {
        Broken broken = brokenByTarget.remove(target);
        unconfirmedListener.accept(
                target,
                new UnconfirmedCrash(found.outcome(), dials, broken.requests().size()));
    }

    private void schedule(Runnable step, long millis) {
        loop.schedule(step, millis, TimeUnit.MILLISECONDS);
    }
}
