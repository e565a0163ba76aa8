package org.rattanrudder.daemon.relay.streams;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rattanrudder.core.continuation.OriginExchange.Finding;
import org.rattanrudder.core.continuation.OriginExchange.Source;
import org.rattanrudder.core.continuation.SoftwareHistory.Evidence;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.gateway.LongestDeadlines;
import org.rattanrudder.core.gateway.RouteHistory;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Finds the software of a stream whose caller doesn't name its beginning: it is certain only where all targets that may
 * have begun the stream run the same software.
 *
 * <p>That is read from the registrations of targets, up to the present: a target that has registered just now may have
 * begun the stream at another relay.
 */
public final class SoleSoftware {
    /**
     * How long ago a caller's stream may have begun at least, in timeouts of its route: its first request, and its
     * return. Callers that want to wait for longer may have begun it earlier.
     */
    private static final int MAX_AGE_TIMEOUTS = 2;

    private final RelayState state;
    private final RouteHistory routes = new RouteHistory();
    private final LongestDeadlines deadlines = new LongestDeadlines();
    private BiConsumer<Long, Consumer<Boolean>> confirmation = (timeoutMillis, then) -> then.accept(false);

    /** Creates a finder that knows no route. */
    public SoleSoftware(RelayState state) {
        this.state = state;
    }

    /** Sets what finds out, within a time in ms, whether all registrations that were written until now were read. */
    public void setConfirmation(BiConsumer<Long, Consumer<Boolean>> newConfirmation) {
        confirmation = newConfirmation;
    }

    /** Handles a new configuration. */
    public void onConfiguration(ServingConfiguration configuration) {
        routes.update(configuration.routes(), state.nowMillis());
    }

    /** Records how long a customer's caller of a stream wants to wait, in ms from now. */
    public void onDeadline(ServiceRoute route, String customer, long deadlineMillis) {
        deadlines.record(route.name(), customer, deadlineMillis, state.nowMillis());
    }

    /**
     * Finds the software that began a stream on a route.
     *
     * @param customer the name of the caller's customer; empty if the route is open to all
     * @param timeoutMillis how long to wait for the confirmation that all registrations were read, in ms
     * @param then called once, at once if it is known not to be certain
     */
    public void find(ServiceRoute route, String customer, long timeoutMillis, Consumer<Finding> then) {
        long now = state.nowMillis();
        long since =
                now - Math.max(MAX_AGE_TIMEOUTS * route.timeoutMillis(), deadlines.millis(route.name(), customer, now));
        Judgement first = judge(route, since, now);
        if (first.sole().isEmpty()) {
            log(route, first, "not_asked", now);
            then.accept(Finding.NOTHING);
            return;
        }
        confirmation.accept(timeoutMillis, confirmed -> {
            Judgement last = judge(route, since, now);
            log(route, last, Boolean.toString(confirmed), now);
            then.accept(confirmed ? finding(last.sole()) : Finding.NOTHING);
        });
    }

    /**
     * What is known of a stream's beginning.
     *
     * @param service the only service to which its route has led
     * @param evidence what is known of that service's software
     */
    private record Judgement(long windowMillis, Optional<String> service, Optional<Evidence> evidence) {
        Optional<StreamOrigin> sole() {
            return evidence.flatMap(Evidence::sole);
        }
    }

    private Judgement judge(ServiceRoute route, long since, long askedAt) {
        Optional<String> service = routes.soleService(route.name(), since);
        return new Judgement(
                askedAt - since,
                service,
                service.map(name -> state.fleet().softwareSince(name, since, state.nowMillis())));
    }

    private void log(ServiceRoute route, Judgement judged, String confirmed, long askedAt) {
        OptionalLong complete = judged.evidence().map(Evidence::completeMillis).orElse(OptionalLong.empty());
        state.log()
                .info(
                        "unnamed_stream_judged",
                        "route",
                        route.name(),
                        "service",
                        judged.service().orElse("unknown"),
                        "window_ms",
                        Long.toString(judged.windowMillis()),
                        "complete_ms",
                        complete.isPresent() ? Long.toString(complete.getAsLong()) : "unknown",
                        "versions",
                        judged.evidence()
                                .map(known -> String.join(",", known.versions()))
                                .orElse("unknown"),
                        "confirmed",
                        confirmed,
                        "waited_ms",
                        Long.toString(state.nowMillis() - askedAt));
    }

    private static Finding finding(Optional<StreamOrigin> sole) {
        return sole.isPresent() ? new Finding(Source.SOLE, sole, 0) : Finding.NOTHING;
    }
}
