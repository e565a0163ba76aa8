package org.rattanrudder.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.TargetName;

/** The targets of one service, in the order of its document, with what an entry knows of each. */
public final class TargetPool {
    private static final long FIRST_SERVICE_MICROS = 100_000;
    private static final int SERVICE_SMOOTHING = 16;

    private final List<RoutableTarget> targets;
    private final Map<TargetName, RoutableTarget> byName;
    private final RendezvousOrder order;
    private final long generation;
    private long serviceMicros;

    /** Creates a pool of targets of which nothing has been heard yet. */
    public TargetPool(List<TargetSettings> settings) {
        this(settings.stream().map(RoutableTarget::new).toList(), FIRST_SERVICE_MICROS, 0);
    }

    private TargetPool(List<RoutableTarget> targets, long serviceMicros, long generation) {
        this.generation = generation;
        this.targets = targets;
        this.byName = new HashMap<>();
        targets.forEach(target -> byName.put(target.name(), target));
        this.order = new RendezvousOrder(targets);
        this.serviceMicros = serviceMicros;
    }

    /** Returns a pool of the targets in a changed document that keeps what is known of those that stay. */
    public TargetPool withSettings(List<TargetSettings> settings) {
        List<RoutableTarget> next = new ArrayList<>(settings.size());
        for (TargetSettings each : settings) {
            RoutableTarget known = byName.get(each.name());
            next.add(known == null ? new RoutableTarget(each) : known.withSettings(each));
        }
        return new TargetPool(List.copyOf(next), serviceMicros, generation + 1);
    }

    /** Returns the targets. */
    public List<RoutableTarget> targets() {
        return targets;
    }

    /** Returns the target of this name. */
    public Optional<RoutableTarget> target(TargetName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns how many documents of the service were in force before. */
    long generation() {
        return generation;
    }

    /** Returns the order in which keys prefer the targets. */
    RendezvousOrder order() {
        return order;
    }

    /** Returns how long an attempt usually occupies a target, in microseconds. */
    public long serviceMicros() {
        return serviceMicros;
    }

    /** Takes into the mean how long an attempt occupied its target, in microseconds. */
    public void recordServiceTime(long micros) {
        serviceMicros += (micros - serviceMicros) / SERVICE_SMOOTHING;
    }
}
