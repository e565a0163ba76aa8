package org.rattanrudder.core.entry;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.gateway.RecentDurations;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.routing.ContextCosts;
import org.rattanrudder.core.routing.RoutableTarget;
import org.rattanrudder.core.routing.TargetPool;

/** A service with its document in force and its state that outlives single requests. */
final class ServedService {
    /** Maximum number of earlier weight versions that may still be served while a change rolls out. */
    private static final int MAX_EARLIER_VERSIONS = 4;

    private final Set<String> earlierVersions = new LinkedHashSet<>();
    private final RetryBudget retries = new RetryBudget();
    private final CustomerLimits limits = new CustomerLimits();
    private final RetryAfterScheduler retryAfterScheduler;
    private final Map<Digest, CustomerSettings> customers = new HashMap<>();
    private final Map<String, RecentDurations> durations = new HashMap<>();
    private ServiceDocument document;
    private long revision;
    private String documentText;
    private TargetPool pool;
    private ContextCosts costs;

    ServedService(ServiceDocument document, long revision, String text, RandomGenerator random) {
        this.retryAfterScheduler = new RetryAfterScheduler(random);
        this.pool = new TargetPool(document.targets());
        apply(document, revision, text);
    }

    /** Applies a newer document. Requests in flight keep the document under which they were admitted. */
    void update(ServiceDocument newer, long newerRevision, String newerText) {
        pool = pool.withSettings(newer.targets());
        recordEarlierVersion(newer);
        apply(newer, newerRevision, newerText);
    }

    private void apply(ServiceDocument newer, long newerRevision, String newerText) {
        document = newer;
        revision = newerRevision;
        documentText = newerText;
        customers.clear();
        durations
                .keySet()
                .retainAll(newer.classes().stream().map(RequestClass::name).toList());
        for (CustomerSettings customer : newer.customers()) {
            customer.credentials().forEach(credential -> customers.put(credential, customer));
        }
        long fastestLink = newer.stores().stream()
                .mapToLong(StoreSettings::linkBytesPerSecond)
                .max()
                .orElse(0);
        costs = new ContextCosts(
                newer.cache().prefillTokensPerSecond(), newer.cache().bytesPerToken(), fastestLink);
    }

    private void recordEarlierVersion(ServiceDocument newer) {
        earlierVersions.add(weightVersion());
        earlierVersions.remove(newer.model().map(ModelSettings::version).orElse(""));
        if (earlierVersions.size() > MAX_EARLIER_VERSIONS) {
            earlierVersions.remove(earlierVersions.iterator().next());
        }
    }

    ServiceDocument document() {
        return document;
    }

    long revision() {
        return revision;
    }

    String documentText() {
        return documentText;
    }

    TargetPool pool() {
        return pool;
    }

    ContextCosts costs() {
        return costs;
    }

    RetryBudget retries() {
        return retries;
    }

    CustomerLimits limits() {
        return limits;
    }

    RetryAfterScheduler retryAfterScheduler() {
        return retryAfterScheduler;
    }

    /** Returns how long the last requests of a class took that were answered. */
    RecentDurations durations(RequestClass requestClass) {
        return durations.computeIfAbsent(requestClass.name(), name -> new RecentDurations());
    }

    Optional<CustomerSettings> customer(Digest credential) {
        return Optional.ofNullable(customers.get(credential));
    }

    /** Returns the weight version in the document; empty for plain services. */
    String weightVersion() {
        return document.model().map(ModelSettings::version).orElse("");
    }

    /**
     * Returns the weight version to request in an attempt at this target.
     *
     * <p>If attempts requested only the version of the newest document, every prompt would be refused as
     * version_changed until the first engine has loaded that version. An engine that reports the version of an earlier
     * document is therefore sent work for that version. Block names begin with the version, so that contexts of
     * different versions don't mix. An engine whose version was in no document gets no work.
     */
    String versionFor(RoutableTarget target) {
        String reported = target.weightVersion();
        return earlierVersions.contains(reported) ? reported : weightVersion();
    }
}
