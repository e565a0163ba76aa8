package org.rattanrudder.core.document;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/**
 * The configuration of one service, as written by its team and with defaults filled in.
 *
 * @param service the service's name: callers give it as {@code model} or in the path
 * @param kind whether it serves prompts or plain calls
 * @param model the model to serve; present exactly for {@link ServiceKind#PROMPT}
 * @param targets the back ends, at least one
 * @param stores the KV cache stores; empty for plain services
 * @param customers the customers that may call the service
 * @param classes the request classes, at least one; the first is the default
 * @param calls the rules for plain calls; the first match applies
 * @param cache how contexts are cached and transferred
 * @param limits limits on requests and queues
 */
public record ServiceDocument(
        ServiceName service,
        ServiceKind kind,
        Optional<ModelSettings> model,
        List<TargetSettings> targets,
        List<StoreSettings> stores,
        List<CustomerSettings> customers,
        List<RequestClass> classes,
        List<CallRule> calls,
        CacheSettings cache,
        LimitSettings limits) {
    /** Copies the lists. */
    public ServiceDocument {
        targets = List.copyOf(targets);
        stores = List.copyOf(stores);
        customers = List.copyOf(customers);
        classes = List.copyOf(classes);
        calls = List.copyOf(calls);
    }

    /** Returns the customer that has a credential with this SHA-256 digest. */
    public Optional<CustomerSettings> customerByCredential(Digest credential) {
        return customers.stream()
                .filter(customer -> customer.credentials().contains(credential))
                .findFirst();
    }

    /** Returns the customer of this name. */
    public Optional<CustomerSettings> customer(CustomerName name) {
        return customers.stream()
                .filter(customer -> customer.name().equals(name))
                .findFirst();
    }

    /** Returns the target of this name. */
    public Optional<TargetSettings> target(TargetName name) {
        return targets.stream().filter(target -> target.name().equals(name)).findFirst();
    }

    /** Returns the request class of this name. */
    public Optional<RequestClass> requestClass(String name) {
        return classes.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    /** Returns whether a call may be retried safely. GET, HEAD and OPTIONS may, unless a rule says otherwise. */
    public boolean isIdempotent(String method, String path) {
        return calls.stream()
                .filter(rule -> rule.matches(method, path))
                .findFirst()
                .map(CallRule::idempotent)
                .orElseGet(() -> method.equals("GET") || method.equals("HEAD") || method.equals("OPTIONS"));
    }
}
