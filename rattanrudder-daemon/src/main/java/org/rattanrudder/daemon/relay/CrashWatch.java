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

/** Tells the unplanned end of a target from the end of single connections: nothing listens at its address any more. */
final class CrashWatch {
    /** How long requests are gathered whose connections the same end has broken, in ms. */
    private static final long GATHER_MILLIS = 20;

    private final EventLoop loop;
    private final Map<Target, Set<RequestFingerprint>> broken = new HashMap<>();
    private BiConsumer<Target, Consumer<Dialled>> probe = (target, then) -> {};
    private BiConsumer<Target, Set<RequestFingerprint>> listener = (target, requests) -> {};

    CrashWatch(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets what dials a target, and who is told of ends with the requests that were there. */
    void use(BiConsumer<Target, Consumer<Dialled>> newProbe, BiConsumer<Target, Set<RequestFingerprint>> newListener) {
        probe = newProbe;
        listener = newListener;
    }

    /** Notes that a request's connection to its target broke in the middle of an attempt. */
    void broken(Target target, RequestFingerprint request) {
        Set<RequestFingerprint> gathered = broken.get(target);
        if (gathered != null) {
            gathered.add(request);
        } else if (!target.entry().draining()) {
            broken.put(target, new LinkedHashSet<>(Set.of(request)));
            probe.accept(target, found -> dialled(target, found));
        }
    }

    private void dialled(Target target, Dialled found) {
        if (found == Dialled.REFUSED) {
            loop.schedule(() -> listener.accept(target, broken.remove(target)), GATHER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            broken.remove(target);
        }
    }
}
