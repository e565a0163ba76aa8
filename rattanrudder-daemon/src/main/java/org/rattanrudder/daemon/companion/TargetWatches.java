package org.rattanrudder.daemon.companion;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.daemon.loop.StateMachineLoop;
import org.rattanrudder.wire.http.HttpCaller;

/** The watches of a companion's targets; belongs to the handler thread. */
final class TargetWatches {
    private final Map<TargetName, TargetWatch> watches = new HashMap<>();
    private final HttpCaller caller;
    private final ScheduledExecutorService timer;
    private final StateMachineLoop<CompanionEvent, CompanionEffect> loop;

    TargetWatches(
            HttpCaller caller, ScheduledExecutorService timer, StateMachineLoop<CompanionEvent, CompanionEffect> loop) {
        this.caller = caller;
        this.timer = timer;
        this.loop = loop;
    }

    void watch(CompanionEffect.WatchTarget watched) {
        unwatch(watched.name());
        TargetWatch[] self = new TargetWatch[1];
        // A report of the old address that waits in the ring must not pass for one of the new.
        self[0] = new TargetWatch(caller, timer, watched, event -> loop.publish(event, () -> !self[0].isStopped()));
        watches.put(watched.name(), self[0]);
        self[0].start();
    }

    void unwatch(TargetName name) {
        TargetWatch watch = watches.remove(name);
        if (watch != null) {
            watch.stop();
        }
    }
}
