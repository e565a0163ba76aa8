package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.quarantine.RequestFingerprint;

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
    private final Map<Target, Set<RequestFingerprint>> requestsByTarget = new HashMap<>();
    private BiConsumer<Target, Consumer<DialResult>> probe = (target, then) -> {};
    private BiConsumer<Target, Set<RequestFingerprint>> listener = (target, requests) -> {};

    CrashDetector(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the probe that dials a target, and the listener for crashes with the requests that were running there. */
    void setHandlers(
            BiConsumer<Target, Consumer<DialResult>> newProbe,
            BiConsumer<Target, Set<RequestFingerprint>> newListener) {
        probe = newProbe;
        listener = newListener;
    }

    /** Records that a request's connection to its target broke in the middle of an attempt. */
    void onConnectionBroken(Target target, RequestFingerprint request) {
        Set<RequestFingerprint> gathered = requestsByTarget.get(target);
        if (gathered != null) {
            gathered.add(request);
        } else if (!target.isLeaving()) {
            requestsByTarget.put(target, new LinkedHashSet<>(Set.of(request)));
            dial(target, 1);
        }
    }

    private void dial(Target target, int dials) {
        probe.accept(target, found -> onDialed(target, found, dials));
    }

    private void onDialed(Target target, DialResult found, int dials) {
        switch (found.outcome()) {
            case REFUSED -> schedule(() -> listener.accept(target, requestsByTarget.remove(target)), COLLECT_MILLIS);
            case OPENED, BROKEN -> schedule(() -> recheck(target, found, dials), MIN_OPEN_MILLIS);
            default -> requestsByTarget.remove(target);
        }
    }

    private void recheck(Target target, DialResult found, int dials) {
        if (found.isStillOpen() || dials >= MAX_DIALS) {
            requestsByTarget.remove(target);
        } else {
            dial(target, dials + 1);
        }
    }

    private void schedule(Runnable step, long millis) {
        loop.schedule(step, millis, TimeUnit.MILLISECONDS);
    }
}
