package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.fleet.Target;

/**
 * Gathers the engines that work was just placed at, for a moment, and then has the other relays told.
 *
 * <p>That work has ended is told with the next message of all work only: told at once, all relays would see the same
 * room and fill it together.
 */
final class PlacementBroadcaster {
    /**
     * How long news are gathered, in ms: requests often come in groups, and a message costs each relay more than the
     * few bytes of another engine in it.
     */
    private static final long GATHER_MILLIS = 5;

    private final EventLoop loop;
    private final Set<Target> changed = new LinkedHashSet<>();
    private Consumer<List<Target>> teller = unheard -> {};

    PlacementBroadcaster(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets who is given the engines. */
    void tellBy(Consumer<List<Target>> newTeller) {
        teller = newTeller;
    }

    /** Notes that work was placed at a target. */
    void recordPlacement(Target target) {
        if (target.registration().weights().isEmpty()) {
            return;
        }
        if (changed.isEmpty()) {
            loop.schedule(this::tell, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
        changed.add(target);
    }

    private void tell() {
        List<Target> news = List.copyOf(changed);
        changed.clear();
        teller.accept(news);
    }
}
