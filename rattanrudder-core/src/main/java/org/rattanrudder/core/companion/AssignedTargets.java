package org.rattanrudder.core.companion;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;

/** The targets that documents assign to this companion. */
final class AssignedTargets {
    private final Address advertised;
    private final Map<TargetName, AssignedTarget> byName = new TreeMap<>(Comparator.comparing(TargetName::value));

    AssignedTargets(Address advertised) {
        this.advertised = advertised;
    }

    /** Returns the target, or null if it isn't assigned. */
    AssignedTarget find(TargetName name) {
        return byName.get(name);
    }

    /** Returns all targets by name, including released ones that still run or queue attempts. */
    Collection<AssignedTarget> all() {
        return byName.values();
    }

    /** Applies the active documents: watches new targets, and releases targets that no document assigns any more. */
    void apply(List<ServiceDocument> documents, EventContext context) {
        List<AssignedTarget> current = new ArrayList<>();
        for (ServiceDocument document : documents) {
            for (TargetSettings settings : document.targets()) {
                if (settings.companion().equals(advertised)) {
                    assign(document, settings, current, context);
                }
            }
        }
        for (AssignedTarget target : byName.values()) {
            if (!current.contains(target) && !target.isReleased()) {
                target.release();
                context.emit(new CompanionEffect.UnwatchTarget(target.name()));
            }
        }
    }

    /** Removes released targets that have no running or queued attempts. */
    void removeIdle() {
        byName.values()
                .removeIf(target -> target.isReleased()
                        && target.admission().runningCount() == 0
                        && target.admission().queuedCount() == 0);
    }

    private void assign(
            ServiceDocument document, TargetSettings settings, List<AssignedTarget> current, EventContext context) {
        AssignedTarget assigned = byName.get(settings.name());
        if (assigned == null) {
            assigned = new AssignedTarget(document, settings);
            byName.put(settings.name(), assigned);
            watch(assigned, context);
        } else if (!assigned.service().equals(document.service())) {
            context.logEvent(
                    "target_name_taken",
                    "target",
                    settings.name().value(),
                    "by",
                    assigned.service().value());
            return;
        } else {
            boolean needsNewWatch =
                    assigned.isReleased() || !assigned.settings().address().equals(settings.address());
            assigned.configure(document, settings);
            if (needsNewWatch) {
                assigned.resetReports();
                watch(assigned, context);
            }
        }
        current.add(assigned);
    }

    private static void watch(AssignedTarget target, EventContext context) {
        context.emit(
                new CompanionEffect.WatchTarget(target.name(), target.settings().address(), target.isEngine()));
    }
}
