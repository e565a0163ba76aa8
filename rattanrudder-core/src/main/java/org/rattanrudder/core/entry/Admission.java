package org.rattanrudder.core.entry;

import java.util.Optional;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.routing.Affinity;
import org.rattanrudder.core.routing.Hashing;

/** Decides whether a request is admitted, and on which terms. */
final class Admission {
    private static final long MICROS_PER_MILLI = 1_000;

    private final ServiceTable services;

    Admission(ServiceTable services) {
        this.services = services;
    }

    /** The result of an admission check. */
    sealed interface Decision {}

    /**
     * The request is admitted.
     *
     * @param terms the terms on which it is served
     */
    record Admitted(Terms terms) implements Decision {}

    /**
     * The request is refused.
     *
     * @param refusal the error for the caller
     * @param customer the customer's name; empty if not known
     * @param requestClass its class; empty if not known
     */
    record Refused(Refusal refusal, String customer, String requestClass) implements Decision {}

    /**
     * The terms of an admitted request. They stay the same until it ends, even if the document changes meanwhile.
     *
     * @param service the service
     * @param document the service's document at admission
     * @param customer the customer that sent the request
     * @param requestClass the request's class
     * @param idempotent whether the request may safely be run more than once
     * @param affinity the kind of affinity to targets
     * @param affinityKey a hash of the context's root or of the idempotency key; 0 without affinity
     * @param contextTokens number of prompt tokens that may be cached
     */
    record Terms(
            ServedService service,
            ServiceDocument document,
            CustomerSettings customer,
            RequestClass requestClass,
            boolean idempotent,
            Affinity affinity,
            long affinityKey,
            int contextTokens) {}

    /**
     * Decides on a request.
     *
     * @param entries number of entries that share the customers' rate limits
     * @param usage requests that all entries admitted for each customer
     */
    Decision decide(CallerRequest request, int entries, CustomerUsage usage, long nowMicros) {
        Optional<ServedService> found = services.service(request.service());
        if (found.isEmpty()) {
            return refused(ErrorKind.UNKNOWN_SERVICE, "no document describes this service", "", "");
        }
        ServedService service = found.get();
        Optional<CustomerSettings> known = request.credential().flatMap(service::customer);
        if (known.isEmpty()) {
            return refused(ErrorKind.UNAUTHENTICATED, "no known credential of this service was given", "", "");
        }
        CustomerSettings customer = known.get();
        String customerName = customer.name().value();
        ServiceDocument document = service.document();
        String className =
                request.requestClass().orElse(document.classes().get(0).name());
        Optional<RequestClass> requestClass = document.requestClass(className);
        if (requestClass.isEmpty() || !mayUse(customer, className)) {
            return refused(ErrorKind.FORBIDDEN, "this customer may not use this request class", customerName, "");
        }
        if (request.call().body().length > document.limits().bodyBytes()) {
            return refused(
                    ErrorKind.BODY_TOO_LARGE,
                    "the body is larger than " + document.limits().bodyBytes() + " bytes",
                    customerName,
                    className);
        }
        boolean isPrompt = request.prompt().tokens() > 0;
        if (isPrompt != (document.kind() == ServiceKind.PROMPT)) {
            return refused(ErrorKind.UNKNOWN_PATH, "the service takes no calls of this form", customerName, className);
        }
        long waitMicros = rateLimitWaitMicros(service, customer, entries, usage, nowMicros);
        if (waitMicros > 0) {
            long after = waitMicros / MICROS_PER_MILLI + 1;
            Refusal refusal = new Refusal(ErrorKind.CUSTOMER_OVER_SHARE, after, "the customer is over its rate");
            return new Refused(refusal, customerName, className);
        }
        return new Admitted(terms(service, customer, requestClass.get(), request));
    }

    private static long rateLimitWaitMicros(
            ServedService service, CustomerSettings customer, int entries, CustomerUsage usage, long nowMicros) {
        if (customer.requestsPerSecond() <= 0) {
            return 0;
        }
        long hash = Frame.customerHash(service.document().service(), customer.name());
        return service.limits().admit(customer, entries, usage.requestsPerSecond(hash, nowMicros), nowMicros);
    }

    /** Returns the terms for a prompt or call of this customer and class. */
    Terms terms(ServedService service, CustomerSettings customer, RequestClass requestClass, CallerRequest request) {
        ServiceDocument document = service.document();
        boolean isPrompt = document.kind() == ServiceKind.PROMPT;
        boolean idempotent = isPrompt
                || document.isIdempotent(request.call().method(), request.call().path());
        Affinity affinity = Affinity.NONE;
        long key = 0;
        if (isPrompt && !request.prompt().pieces().isEmpty()) {
            affinity = Affinity.CONTEXT;
            key = contextKey(service, customer, request.prompt());
        } else if (!idempotent && request.idempotencyKey().isPresent()) {
            affinity = Affinity.KEY;
            key = Digest.of(
                            document.service().value(),
                            customer.name().value(),
                            request.idempotencyKey().get())
                    .first();
        }
        int contextTokens = request.prompt().pieces().size() * document.cache().pieceTokens();
        return new Terms(service, document, customer, requestClass, idempotent, affinity, key, contextTokens);
    }

    /** Returns a hash of the context's first block name, which differs by customer, service and weight version. */
    private static long contextKey(ServedService service, CustomerSettings customer, PromptShape prompt) {
        Digest root =
                Digest.of(customer.name().value(), service.document().service().value(), service.weightVersion());
        return Hashing.mix(root.chain(prompt.pieces().get(0)).first());
    }

    private static boolean mayUse(CustomerSettings customer, String className) {
        return customer.classes().isEmpty() || customer.classes().contains(className);
    }

    private static Refused refused(ErrorKind kind, String detail, String customer, String requestClass) {
        return new Refused(new Refusal(kind, 0, detail), customer, requestClass);
    }
}
