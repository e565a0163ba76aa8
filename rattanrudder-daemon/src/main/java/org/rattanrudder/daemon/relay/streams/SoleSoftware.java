package org.rattanrudder.daemon.relay.streams;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rattanrudder.core.continuation.OriginExchange.Finding;
import org.rattanrudder.core.continuation.OriginExchange.Source;
import org.rattanrudder.core.continuation.SoftwareHistory.Evidence;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.continuation.UnnamedStreams;
import org.rattanrudder.core.continuation.UnnamedStreams.Conclusion;
import org.rattanrudder.core.continuation.UnnamedStreams.Question;
import org.rattanrudder.core.fleet.Fleet;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Finds the software of a stream whose caller doesn't name its beginning, by {@link UnnamedStreams}.
 *
 * <p>Registrations and configurations are read up to the present: a target that has registered just now, or a route
 * that has just been moved, may have begun the stream at another relay.
 */
public final class SoleSoftware {
    private final RelayState state;
    private final UnnamedStreams streams;
    private BiConsumer<Long, Consumer<Boolean>> confirmation = (timeoutMillis, then) -> then.accept(false);

    /** Creates a finder that knows no route. */
    public SoleSoftware(RelayState state) {
        this.state = state;
        streams = new UnnamedStreams(
                (service, since, now) -> state.fleet().softwareSince(service, since, now),
                () -> state.settings().bounds().drainMillis() + Fleet.LOG_RECOVERY_GRACE_MILLIS);
    }

    /**
     * Sets what finds out, within a time in ms, whether all registrations and configurations that were written until
     * now were read.
     */
    public void setConfirmation(BiConsumer<Long, Consumer<Boolean>> newConfirmation) {
        confirmation = newConfirmation;
    }

    /** Handles a new configuration. */
    public void onConfiguration(ServingConfiguration configuration) {
        streams.onConfiguration(configuration.routes(), state.nowMillis());
    }

    /** Handles that configurations were written that this relay hasn't read and never will. */
    public void onConfigurationsMissed() {
        streams.onConfigurationsMissed(state.nowMillis());
    }

    /** Records how long a customer's caller of a stream wants to wait, in ms from now. */
    public void onDeadline(ServiceRoute route, String customer, long deadlineMillis) {
        streams.onDeadline(route, customer, deadlineMillis, state.nowMillis());
    }

    /**
     * Finds the software that began a stream on a route.
     *
     * @param customer the name of the caller's customer; empty if the route is open to all
     * @param timeoutMillis how long to wait for the confirmation that all was read, in ms
     * @param then called once, at once if it is known not to be certain
     */
    public void find(ServiceRoute route, String customer, long timeoutMillis, Consumer<Finding> then) {
        Question question = streams.ask(route, customer, state.nowMillis());
        Conclusion first = streams.conclude(question, state.nowMillis());
        if (first.sole().isEmpty()) {
            log(question, first, "not_asked");
            then.accept(Finding.NOTHING);
            return;
        }
        confirmation.accept(timeoutMillis, confirmed -> {
            Conclusion last = streams.conclude(question, state.nowMillis());
            log(question, last, Boolean.toString(confirmed));
            then.accept(confirmed ? finding(last.sole()) : Finding.NOTHING);
        });
    }

    private void log(Question question, Conclusion concluded, String confirmed) {
        OptionalLong complete =
                concluded.evidence().map(Evidence::completeMillis).orElse(OptionalLong.empty());
        state.log()
                .info(
                        "unnamed_stream_judged",
                        "route",
                        question.route().name(),
                        "service",
                        concluded.service().orElse("unknown"),
                        "window_ms",
                        Long.toString(question.askedAtMillis() - question.sinceMillis()),
                        "complete_ms",
                        complete.isPresent() ? Long.toString(complete.getAsLong()) : "unknown",
                        "versions",
                        concluded
                                .evidence()
                                .map(known -> String.join(",", known.versions()))
                                .orElse("unknown"),
                        "confirmed",
                        confirmed,
                        "waited_ms",
                        Long.toString(state.nowMillis() - question.askedAtMillis()));
    }

    private static Finding finding(Optional<StreamOrigin> sole) {
        return sole.isPresent() ? new Finding(Source.SOLE, sole, 0) : Finding.NOTHING;
    }
}
