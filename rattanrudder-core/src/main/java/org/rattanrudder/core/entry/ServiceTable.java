package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.routing.RoutableTarget;

/** The services whose documents are in force at this entry. */
final class ServiceTable {
    private final RandomGenerator random;
    private final Map<String, ServedService> services = new TreeMap<>();
    /** Targets by companion, so that the cost of a heartbeat doesn't grow with the targets of other companions. */
    private final Map<Address, List<RoutableTarget>> targetsByCompanion = new HashMap<>();

    ServiceTable(RandomGenerator random) {
        this.random = random;
    }

    /** Applies a document. */
    void put(ServiceDocument document, long revision, String text) {
        ServedService existing = services.get(document.service().value());
        if (existing == null) {
            services.put(document.service().value(), new ServedService(document, revision, text, random));
        } else {
            existing.update(document, revision, text);
        }
        indexTargets();
    }

    Optional<ServedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    Iterable<ServedService> all() {
        return services.values();
    }

    /** Returns the documents in force. */
    List<ServiceDocument> documents() {
        return services.values().stream().map(ServedService::document).toList();
    }

    /** Returns the revision in force of each service. */
    List<Frame.ServiceRevision> revisions() {
        List<Frame.ServiceRevision> revisions = new ArrayList<>();
        services.forEach(
                (name, service) -> revisions.add(new Frame.ServiceRevision(new ServiceName(name), service.revision())));
        return revisions;
    }

    /** Returns the addresses of all companions in the documents. */
    Set<Address> companions() {
        Set<Address> companions = new LinkedHashSet<>();
        for (ServedService service : services.values()) {
            for (TargetSettings target : service.document().targets()) {
                companions.add(target.companion());
            }
        }
        return companions;
    }

    /** Returns the targets of this companion in the documents. */
    List<RoutableTarget> targetsOf(Address companion) {
        return targetsByCompanion.getOrDefault(companion, List.of());
    }

    private void indexTargets() {
        targetsByCompanion.clear();
        for (ServedService service : services.values()) {
            for (RoutableTarget target : service.pool().targets()) {
                targetsByCompanion
                        .computeIfAbsent(target.companion(), address -> new ArrayList<>())
                        .add(target);
            }
        }
    }
}
