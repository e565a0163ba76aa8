package org.rattanrudder.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.TargetName;

/** The targets of one service, in the order of its document, with the entry's view of each. */
public final class TargetPool {
    private static final long INITIAL_SERVICE_MICROS = 100_000;
    private static final int SERVICE_SMOOTHING_SAMPLES = 16;

    private final List<RoutableTarget> targets;
    private final Map<TargetName, RoutableTarget> byName;
    private final RendezvousOrder order;
    private final long generation;
    private long serviceMicros;

    /** Creates a pool of targets without reports. */
    public TargetPool(List<TargetSettings> settings) {
        this(settings.stream().map(RoutableTarget::new).toList(), INITIAL_SERVICE_MICROS, 0);
    }

    private TargetPool(List<RoutableTarget> targets, long serviceMicros, long generation) {
        this.generation = generation;
        this.targets = targets;
        this.byName = new HashMap<>();
        targets.forEach(target -> byName.put(target.name(), target));
        this.order = new RendezvousOrder(targets);
        this.serviceMicros = serviceMicros;
    }

    /** Returns a pool for the targets of a changed document; retained targets keep their state. */
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

    /** Returns the generation of the pool, which is incremented with each changed document. */
    long generation() {
        return generation;
    }

    /** Returns the rendezvous order of the targets. */
    RendezvousOrder order() {
        return order;
    }

    /** Returns the mean time that an attempt occupies a target, in microseconds. */
    public long serviceMicros() {
        return serviceMicros;
    }

    /** Adds the time that an attempt occupied its target, in microseconds, to the moving average. */
    public void recordServiceTime(long micros) {
        serviceMicros += (micros - serviceMicros) / SERVICE_SMOOTHING_SAMPLES;
    }
}
