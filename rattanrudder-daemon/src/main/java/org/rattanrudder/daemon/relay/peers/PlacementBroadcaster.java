package org.rattanrudder.daemon.relay.peers;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.fleet.Target;

/**
 * Batches the engines at which requests were just placed, for a broadcast to peers.
 *
 * <p>The end of a request is reported only in the next regular load report. If it were broadcast at once, all relays
 * would see the same free capacity and fill it together.
 */
public final class PlacementBroadcaster {
    /**
     * How long placements are batched: requests often arrive in bursts, and a further message costs each relay more
     * than the few bytes of another engine in the same message.
     */
    private static final long BATCH_MILLIS = 5;

    private final EventLoop loop;
    private final Set<Target> pendingTargets = new LinkedHashSet<>();
    private Consumer<List<Target>> listener = ignored -> {};

    /** Creates a broadcaster without a listener; its batches end on the event loop. */
    public PlacementBroadcaster(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the listener that receives each batch. */
    void setListener(Consumer<List<Target>> newListener) {
        listener = newListener;
    }

    /** Records that a request was placed at a target. */
    public void recordPlacement(Target target) {
        if (target.registration().weights().isEmpty()) {
            return;
        }
        if (pendingTargets.isEmpty()) {
            loop.schedule(this::flush, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
        pendingTargets.add(target);
    }

    private void flush() {
        List<Target> batch = List.copyOf(pendingTargets);
        pendingTargets.clear();
        listener.accept(batch);
    }
}
