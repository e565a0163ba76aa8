package org.rattanrudder.core.continuation;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.rattanrudder.core.continuation.SoftwareHistory.Evidence;
import org.rattanrudder.core.gateway.LongestDeadlines;
import org.rattanrudder.core.gateway.RouteHistory;
import org.rattanrudder.core.gateway.RouteTable;
import org.rattanrudder.core.gateway.ServiceRoute;

/**
 * Concludes which software began a stream whose caller doesn't name it.
 *
 * <p>It is certain only where the route has led to one service, and all targets of that service have run the same
 * software, for as long as the stream may have begun. That holds for what this relay has read: the conclusion counts
 * once reads that were asked for after the request had come show that nothing else was written. All times are
 * milliseconds of a monotonic clock.
 */
public final class UnnamedStreams {
    /**
     * How long ago a caller's stream may have begun at least, in timeouts of its route: its first request, and its
     * return. Callers that want to wait for longer may have begun it earlier.
     */
    private static final int MAX_AGE_TIMEOUTS = 2;

    private final RouteHistory routes = new RouteHistory();
    private final LongestDeadlines deadlines = new LongestDeadlines();
    private final SoftwareSource software;
    private final LongSupplier lateSendMillis;

    /** Says what the targets of a service have run. */
    @FunctionalInterface
    public interface SoftwareSource {
        /** Returns what is known of the software that all targets of a service have run since a time. */
        Evidence since(String service, long sinceMillis, long nowMillis);
    }

    /**
     * A stream that a caller resumes and doesn't name.
     *
     * @param route the route of the request
     * @param sinceMillis the earliest time at which it may have begun
     * @param askedAtMillis when the request came
     */
    public record Question(ServiceRoute route, long sinceMillis, long askedAtMillis) {}

    /**
     * What follows from all that was read.
     *
     * @param service the only service to which the route has led; empty if there may have been others
     * @param evidence what is known of that service's software
     */
    public record Conclusion(Optional<String> service, Optional<Evidence> evidence) {
        /** Returns the software that began the stream; empty if it isn't certain. */
        public Optional<StreamOrigin> sole() {
            return evidence.flatMap(Evidence::sole);
        }
    }

    /**
     * Creates conclusions of a relay that knows no route.
     *
     * @param lateSendMillis for how long others may still send by an older configuration, or to a target that was
     *     removed, after this relay has read of the change
     */
    public UnnamedStreams(SoftwareSource software, LongSupplier lateSendMillis) {
        this.software = software;
        this.lateSendMillis = lateSendMillis;
    }

    /** Handles a configuration that came into force. */
    public void onConfiguration(RouteTable table, long nowMillis) {
        routes.update(table, nowMillis);
    }

    /** Handles that configurations were written that this relay hasn't read and never will. */
    public void onConfigurationsMissed(long nowMillis) {
        routes.restart(nowMillis);
    }

    /** Records how long a customer's caller of a stream wants to wait, in ms from now. */
    public void onDeadline(ServiceRoute route, String customer, long deadlineMillis, long nowMillis) {
        deadlines.record(route.name(), customer, deadlineMillis, nowMillis);
    }

    /** Returns what has to be found out for a request; the customer is empty if the route is open to all. */
    public Question ask(ServiceRoute route, String customer, long nowMillis) {
        long timeout = Math.max(route.timeoutMillis(), routes.longestTimeoutMillis(route.name(), nowMillis));
        long patience = Math.max(MAX_AGE_TIMEOUTS * timeout, deadlines.millis(route.name(), customer, nowMillis));
        return new Question(route, nowMillis - patience - lateSendMillis.getAsLong(), nowMillis);
    }

    /** Returns what follows from all that was read until now. */
    public Conclusion conclude(Question question, long nowMillis) {
        Optional<String> service = routes.soleService(question.route().name(), question.sinceMillis());
        return new Conclusion(service, service.map(name -> software.since(name, question.sinceMillis(), nowMillis)));
    }
}
