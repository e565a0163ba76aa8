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

/** The targets that the documents give to this companion. */
final class Targets {
    private final Address advertised;
    private final Map<TargetName, HeldTarget> byName = new TreeMap<>(Comparator.comparing(TargetName::value));

    Targets(Address advertised) {
        this.advertised = advertised;
    }

    /** Returns the target, or null if it isn't held. */
    HeldTarget find(TargetName name) {
        return byName.get(name);
    }

    /** Returns all targets by name, also those that are released but still run something. */
    Collection<HeldTarget> all() {
        return byName.values();
    }

    /** Takes up the documents in force: watches what is new, and releases what no document gives us any more. */
    void apply(List<ServiceDocument> documents, Turn turn) {
        List<HeldTarget> kept = new ArrayList<>();
        for (ServiceDocument document : documents) {
            for (TargetSettings settings : document.targets()) {
                if (settings.companion().equals(advertised)) {
                    hold(document, settings, kept, turn);
                }
            }
        }
        for (HeldTarget target : byName.values()) {
            if (!kept.contains(target) && !target.isReleased()) {
                target.release();
                turn.ask(new CompanionEffect.UnwatchTarget(target.name()));
            }
        }
    }

    /** Forgets released targets that run nothing any more. */
    void forgetIdle() {
        byName.values()
                .removeIf(target -> target.isReleased()
                        && target.admission().runningCount() == 0
                        && target.admission().queuedCount() == 0);
    }

    private void hold(ServiceDocument document, TargetSettings settings, List<HeldTarget> kept, Turn turn) {
        HeldTarget known = byName.get(settings.name());
        if (known == null) {
            known = new HeldTarget(document, settings);
            byName.put(settings.name(), known);
            watch(known, turn);
        } else if (!known.service().equals(document.service())) {
            turn.note(
                    "target_name_taken",
                    "target",
                    settings.name().value(),
                    "by",
                    known.service().value());
            return;
        } else {
            boolean watchAnew =
                    known.isReleased() || !known.settings().address().equals(settings.address());
            known.configure(document, settings);
            if (watchAnew) {
                known.forgetReports();
                watch(known, turn);
            }
        }
        kept.add(known);
    }

    private static void watch(HeldTarget target, Turn turn) {
        turn.ask(
                new CompanionEffect.WatchTarget(target.name(), target.settings().address(), target.isEngine()));
    }
}
