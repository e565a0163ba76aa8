package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.KeptPart;
import org.rattanrudder.core.fleet.RelayLoad.PromptRead;
import org.rattanrudder.core.fleet.Target;

/**
 * Gathers the engines that work was just placed at, for a moment, and then has the other relays told.
 *
 * <p>That work has ended is told with the next message of all work only: when it was told within 25 ms, all relays saw
 * the same room at once and filled it together (preempted runs 76 to 158 on one day, 176 to 255 in the model).
 */
final class WorkNews {
    /**
     * How long news are gathered, in ms: requests often come in groups, and a message costs each relay more than the
     * few bytes of another engine in it.
     */
    private static final long GATHER_MILLIS = 5;

    private final EventLoop loop;
    private final Set<Target> changed = new LinkedHashSet<>();
    private final List<PromptRead> reads = new ArrayList<>();
    private Teller teller = (unheard, unread) -> {};

    /** Tells the other relays. */
    interface Teller {
        /** Tells them of engines that work was placed at, and of the prompts. */
        void tell(List<Target> sentTo, List<PromptRead> sent);
    }

    WorkNews(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets who is given the engines. */
    void tellBy(Teller newTeller) {
        teller = newTeller;
    }

    /** Notes that a prompt was placed at a target. */
    void placed(Target target, List<KeptPart> parts) {
        if (target.entry().weights().isEmpty()) {
            return;
        }
        if (changed.isEmpty()) {
            loop.schedule(this::tell, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
        changed.add(target);
        if (!parts.isEmpty()) {
            reads.add(new PromptRead(target.id(), parts));
        }
    }

    private void tell() {
        List<Target> news = List.copyOf(changed);
        List<PromptRead> sent = List.copyOf(reads);
        changed.clear();
        reads.clear();
        teller.tell(news, sent);
    }
}
