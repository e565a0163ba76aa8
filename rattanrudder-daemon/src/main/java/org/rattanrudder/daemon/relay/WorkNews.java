package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.fleet.Target;

/** Gathers the engines at which this relay's work has changed, for a moment, and then has the other relays told. */
final class WorkNews {
    /**
     * How long news of a placement are gathered, in ms: requests often come in groups, and a message costs each relay
     * more than the few bytes of another engine in it.
     */
    private static final long PLACED_MILLIS = 5;

    /** How long news of work that is done are gathered, in ms: to know them late costs room, not a full engine. */
    private static final long DONE_MILLIS = 25;

    private final EventLoop loop;
    private final Set<Target> changed = new LinkedHashSet<>();
    private Consumer<List<Target>> teller = unheard -> {};
    private ScheduledFuture<?> telling;
    private boolean soon;

    WorkNews(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets who is given the engines. */
    void tellBy(Consumer<List<Target>> newTeller) {
        teller = newTeller;
    }

    /** Notes that work was placed at a target. */
    void placed(Target target) {
        note(target, true);
    }

    /** Notes that a target has begun or ended work. */
    void done(Target target) {
        note(target, false);
    }

    private void note(Target target, boolean urgent) {
        if (target.entry().weights().isEmpty()) {
            return;
        }
        changed.add(target);
        if (telling == null || (urgent && !soon)) {
            if (telling != null) {
                telling.cancel(false);
            }
            soon = urgent;
            telling = loop.schedule(this::tell, urgent ? PLACED_MILLIS : DONE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tell() {
        List<Target> news = List.copyOf(changed);
        changed.clear();
        telling = null;
        teller.accept(news);
    }
}
