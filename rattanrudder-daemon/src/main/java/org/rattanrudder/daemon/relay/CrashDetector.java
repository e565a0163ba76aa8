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
 * Tells the unplanned end of a target from the end of single connections: nothing listens at its address any more.
 *
 * <p>While a process ends, its connections may be closed before it stops to listen. A dial that opens therefore proves
 * only by its connection's lasting that the target lives.
 */
final class CrashDetector {
    /** How long requests are gathered whose connections the same end has broken, in ms. */
    private static final long GATHER_MILLIS = 20;

    /** How long a connection must last that was opened to see whether its target lives, in ms. */
    static final long LASTING_MILLIS = 100;

    /** Dials after which a target whose connections don't last counts as one that lives. */
    static final int MOST_DIALS = 4;

    private final EventLoop loop;
    private final Map<Target, Set<RequestFingerprint>> broken = new HashMap<>();
    private BiConsumer<Target, Consumer<Dial>> probe = (target, then) -> {};
    private BiConsumer<Target, Set<RequestFingerprint>> listener = (target, requests) -> {};

    CrashDetector(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets what dials a target, and who is told of ends with the requests that were there. */
    void use(BiConsumer<Target, Consumer<Dial>> newProbe, BiConsumer<Target, Set<RequestFingerprint>> newListener) {
        probe = newProbe;
        listener = newListener;
    }

    /** Notes that a request's connection to its target broke in the middle of an attempt. */
    void broken(Target target, RequestFingerprint request) {
        Set<RequestFingerprint> gathered = broken.get(target);
        if (gathered != null) {
            gathered.add(request);
        } else if (!target.registration().draining()) {
            broken.put(target, new LinkedHashSet<>(Set.of(request)));
            dial(target, 1);
        }
    }

    private void dial(Target target, int dials) {
        probe.accept(target, found -> dialled(target, found, dials));
    }

    private void dialled(Target target, Dial found, int dials) {
        switch (found.result()) {
            case REFUSED -> later(() -> listener.accept(target, broken.remove(target)), GATHER_MILLIS);
            case OPENED, BROKEN -> later(() -> lookAgain(target, found, dials), LASTING_MILLIS);
            default -> broken.remove(target);
        }
    }

    private void lookAgain(Target target, Dial found, int dials) {
        if (found.lasts() || dials >= MOST_DIALS) {
            broken.remove(target);
        } else {
            dial(target, dials + 1);
        }
    }

    private void later(Runnable step, long millis) {
        loop.schedule(step, millis, TimeUnit.MILLISECONDS);
    }
}
