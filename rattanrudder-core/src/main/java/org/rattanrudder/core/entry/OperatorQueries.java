package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.routing.Affinity;
import org.rattanrudder.core.routing.RoutableTarget;
import org.rattanrudder.core.routing.Route;
import org.rattanrudder.core.routing.RoutingPolicy;
import org.rattanrudder.core.routing.RoutingQuery;

/** Answers operators' queries from this entry's view of the system. */
final class OperatorQueries {
    private static final long MICROS_PER_MILLI = 1_000;

    private final EntrySettings settings;
    private final ServiceTable services;
    private final Admission admission;
    private final RoutingPolicy policy;
    private final Outbox outbox;

    OperatorQueries(
            EntrySettings settings, ServiceTable services, Admission admission, RoutingPolicy policy, Outbox outbox) {
        this.settings = settings;
        this.services = services;
        this.admission = admission;
        this.policy = policy;
        this.outbox = outbox;
    }

    void show(long handle, OperatorCall.Show call) {
        Optional<ServedService> service = services.service(call.service().value());
        if (service.isEmpty()) {
            refuse(handle, ErrorKind.UNKNOWN_SERVICE, "no document describes this service");
            return;
        }
        ServedService found = service.get();
        reply(handle, new OperatorReply.Shown(call.service(), found.revision(), found.documentText()));
    }

    void status(long handle, Iterable<CompanionLink> links, boolean logReachable, long nowMicros) {
        List<OperatorReply.CompanionStatus> companions = new ArrayList<>();
        for (CompanionLink link : links) {
            companions.add(companionStatus(link, nowMicros));
        }
        reply(
                handle,
                new OperatorReply.SystemStatus(
                        settings.instance().value(),
                        settings.failureDomain(),
                        logReachable,
                        services.revisions(),
                        companions));
    }

    private static OperatorReply.CompanionStatus companionStatus(CompanionLink link, long nowMicros) {
        boolean hasHeartbeat = link.heartbeatMicros != CompanionLink.NEVER;
        long age = hasHeartbeat ? nowMicros - link.heartbeatMicros : CompanionLink.NEVER;
        return new OperatorReply.CompanionStatus(
                link.address.toString(),
                link.hello == null ? "" : link.hello.instance().value(),
                link.hello == null ? "" : link.hello.failureDomain(),
                link.isOpen() && hasHeartbeat && age < RoutableTarget.MAX_REPORT_AGE_MICROS,
                hasHeartbeat ? age / MICROS_PER_MILLI : -1,
                link.targets(),
                link.revisions());
    }

    void explain(long handle, OperatorCall.Explain call, long nowMicros) {
        Optional<ServedService> service = services.service(call.service().value());
        if (service.isEmpty()) {
            refuse(handle, ErrorKind.UNKNOWN_SERVICE, "no document describes this service");
            return;
        }
        ServedService found = service.get();
        Optional<CustomerSettings> customer = found.document().customer(call.customer());
        Optional<RequestClass> requestClass = call.requestClass().isEmpty()
                ? Optional.of(found.document().classes().get(0))
                : found.document().requestClass(call.requestClass());
        if (customer.isEmpty() || requestClass.isEmpty()) {
            refuse(handle, ErrorKind.FORBIDDEN, "the service has no such customer or request class");
            return;
        }
        CallerRequest request = new CallerRequest(
                call.service().value(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                new Call("POST", "/", List.of(), new byte[0]),
                call.prompt());
        Admission.Terms terms = admission.terms(found, customer.get(), requestClass.get(), request);
        reply(handle, explanation(call, terms, nowMicros));
    }

    private OperatorReply.Explanation explanation(OperatorCall.Explain call, Admission.Terms terms, long nowMicros) {
        ServedService service = terms.service();
        RoutingQuery query = terms.affinity() == Affinity.NONE
                ? RoutingQuery.withoutAffinity(Set.of())
                : new RoutingQuery(
                        terms.affinity(), terms.affinityKey(), terms.contextTokens(), service.costs(), Set.of());
        Optional<Route> chosen = policy.choose(query, service.pool(), nowMicros);
        List<OperatorReply.Candidate> candidates = new ArrayList<>();
        for (RoutableTarget target : service.pool().targets()) {
            boolean isChosen = chosen.filter(route -> route.target() == target).isPresent();
            long wait = target.waitMicros(service.pool().serviceMicros(), nowMicros);
            long context = isChosen
                    ? chosen.get().contextMicros()
                    : target.missingContextMicros(query.contextTokens(), query.costs());
            String note = isChosen ? "chosen" : target.eligibility(nowMicros);
            candidates.add(new OperatorReply.Candidate(target.name().value(), wait + context, wait, context, note));
        }
        candidates.sort(Comparator.comparing((OperatorReply.Candidate each) -> rank(each.note()))
                .thenComparingLong(OperatorReply.Candidate::estimateMicros));
        return new OperatorReply.Explanation(
                call.service(),
                chosen.map(route -> route.target().name().value()).orElse(""),
                chosen.map(Route::reason).orElse("no target accepts work"),
                candidates);
    }

    private static int rank(String note) {
        return switch (note) {
            case "chosen" -> 0;
            case "eligible" -> 1;
            default -> 2;
        };
    }

    private void refuse(long handle, ErrorKind kind, String detail) {
        reply(handle, new OperatorReply.Refused(new Refusal(kind, 0, detail)));
    }

    private void reply(long handle, OperatorReply reply) {
        outbox.emit(new EntryEffect.ReplyToOperator(handle, reply));
    }
}
