package org.rattanrudder.daemon.relay.serving;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.rattanrudder.core.continuation.OriginExchange.Finding;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.CapacityEstimate;
import org.rattanrudder.core.fleet.Placement;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.fleet.SelfReport;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Logs each decision on a request on one line, with the request ID and the inputs of the decision. */
final class ExchangeLog {
    private static final double HUNDREDTHS = 100;

    private final RelayState state;
    private final RequestPlan plan;
    private final StopLog stopLog;
    private Optional<TargetAttempt> attempt = Optional.empty();
    private String load = "unknown";

    ExchangeLog(RelayState state, RequestPlan plan) {
        this.state = state;
        this.plan = plan;
        stopLog = new StopLog(state);
    }

    /** Notes the attempt that was sent last, for the line on the request's end. */
    void sent(TargetAttempt sent) {
        attempt = Optional.of(sent);
    }

    /** Notes the load that a target has reported last, for the line on the request's end. */
    void loadReported(SelfReport.Load reported) {
        load = reported.running() + "/" + reported.queued();
    }

    /**
     * Logs where a request is placed.
     *
     * @param attempt the number of the attempt, 1 first
     * @param lastEventId the event after which the attempt continues a stream; empty for the beginning
     */
    void placed(Placement.Choice choice, int attempt, Optional<String> lastEventId) {
        state.log()
                .info(
                        "request_placed",
                        Stream.concat(
                                        Stream.of(
                                                "request",
                                                plan.id(),
                                                "route",
                                                plan.route().name(),
                                                "service",
                                                plan.service(),
                                                "target",
                                                choice.target().id(),
                                                "expected_ms",
                                                Long.toString(Math.round(choice.expectedMillis())),
                                                "candidates",
                                                Integer.toString(choice.candidates()),
                                                "in_flight",
                                                Integer.toString(choice.target().inFlight()),
                                                "warming",
                                                Boolean.toString(isWarmingUp(choice.target(), state.nowMillis())),
                                                "rate_limited",
                                                Boolean.toString(choice.target()
                                                        .rateLimit()
                                                        .isPresent()),
                                                "leaving",
                                                Boolean.toString(choice.target().isLeaving()),
                                                "resting",
                                                Boolean.toString(choice.target().isResting(state.nowMillis())),
                                                "attempt",
                                                Integer.toString(attempt),
                                                "software",
                                                softwareOf(choice.target()),
                                                "after_event",
                                                lastEventId.orElse("none"),
                                                "resumes",
                                                plan.metadata()
                                                        .resumedRequestId()
                                                        .orElse("none"),
                                                "left_ms",
                                                Long.toString(plan.remainingMillis()),
                                                "decided_by",
                                                Long.toString(plan.decidedBy()),
                                                "configuration",
                                                state.configuration()
                                                        .map(configuration -> Long.toString(configuration.version()))
                                                        .orElse("none")),
                                        capacity(choice.target()).stream())
                                .toArray(String[]::new));
    }

    /** Returns what determined the estimate of the target's speed; nothing where only expected figures apply. */
    private List<String> capacity(Target target) {
        return target.capacity()
                .estimate(state.nowMillis())
                .map(ExchangeLog::capacityFields)
                .orElse(List.of());
    }

    private static List<String> capacityFields(CapacityEstimate estimate) {
        return List.of(
                "pace_percent",
                estimate.pacePercent().isPresent()
                        ? Integer.toString(estimate.pacePercent().getAsInt())
                        : "none",
                "pace_age_ms",
                Long.toString(estimate.paceAgeMillis()),
                "factor",
                hundredths(estimate.factor()),
                "slowdown",
                hundredths(estimate.slowdown()),
                "tokens_per_ms",
                hundredths(estimate.tokensPerMilli()),
                "base_ms",
                Long.toString(Math.round(estimate.baseMillis())),
                "knee",
                estimate.kneeRequests().isPresent()
                        ? Integer.toString(estimate.kneeRequests().getAsInt())
                        : "none");
    }

    private static String hundredths(double value) {
        return Double.toString(Math.round(value * HUNDREDTHS) / HUNDREDTHS);
    }

    /**
     * Logs what is known of the stream that a request resumes.
     *
     * @param continuable whether any target may continue it
     * @param waitedMillis how long it took to find out
     */
    void resumed(Finding found, boolean continuable, long waitedMillis) {
        state.log()
                .info(
                        "stream_resumed",
                        "request",
                        plan.id(),
                        "resumes",
                        plan.metadata().resumedRequestId().orElse("none"),
                        "after_event",
                        plan.metadata().lastEventId().orElse("none"),
                        "origin",
                        found.source().wireName(),
                        "service",
                        found.origin().map(StreamOrigin::service).orElse("unknown"),
                        "software",
                        found.origin().map(StreamOrigin::softwareVersion).orElse("unknown"),
                        "age_ms",
                        Long.toString(found.ageMillis()),
                        "waited_ms",
                        Long.toString(waitedMillis),
                        "continuable",
                        Boolean.toString(continuable));
    }

    void queued(int queueLength, long untilMillis, List<Target> targets, long now) {
        state.log()
                .info(
                        "request_held",
                        "request",
                        plan.id(),
                        "service",
                        plan.service(),
                        "in_line",
                        Integer.toString(queueLength),
                        "on_time_for_ms",
                        Long.toString(untilMillis),
                        "targets",
                        Integer.toString(targets.size()),
                        "paused",
                        Long.toString(targets.stream()
                                .filter(target -> target.isPaused(now))
                                .count()),
                        "swapping",
                        Long.toString(targets.stream()
                                .filter(target -> target.isLoadingWeights(now))
                                .count()),
                        "warming",
                        Long.toString(targets.stream()
                                .filter(target -> isWarmingUp(target, now))
                                .count()),
                        "resting",
                        Long.toString(targets.stream()
                                .filter(target -> target.isResting(now))
                                .count()),
                        "rate_limited",
                        Long.toString(targets.stream()
                                .filter(target -> target.rateLimit().isPresent())
                                .count()),
                        "evacuated",
                        Integer.toString(state.fleet().evacuations().evacuated().size()),
                        "peers",
                        Integer.toString(state.fleet().livePeerCount(now)));
    }

    /** Logs when a request that joins the queue would be sent. */
    void forecast(Optional<Forecast> forecast) {
        state.log()
                .info(
                        "request_forecast",
                        Stream.concat(
                                        Stream.of("request", plan.id(), "service", plan.service()),
                                        forecastFields(forecast))
                                .toArray(String[]::new));
    }

    /** Logs that a request is rejected since its turn comes too late. */
    void rejectedEarly(QueueRejection.Rejection rejection) {
        Stream<String> fields = Stream.of(
                "request",
                plan.id(),
                "route",
                plan.route().name(),
                "service",
                plan.service(),
                "stage",
                rejection.stage().wireName(),
                "useful_ms",
                Long.toString(rejection.usefulMillis()),
                "retry_after_ms",
                Long.toString(rejection.retryAfterMillis()),
                "left_ms",
                Long.toString(plan.remainingMillis()));
        state.log()
                .info(
                        "request_rejected_early",
                        Stream.concat(fields, forecastFields(Optional.of(rejection.forecast())))
                                .toArray(String[]::new));
    }

    private Stream<String> forecastFields(Optional<Forecast> forecast) {
        return Stream.of(
                "priority",
                Integer.toString(plan.priority()),
                "forecast_ms",
                text(forecast, Forecast::waitMillis),
                "as_late",
                text(forecast, Forecast::late),
                "ahead",
                text(forecast, found -> found.ahead().requests()),
                "ahead_tokens",
                text(forecast, found -> found.ahead().tokens()),
                "requests_per_s",
                text(forecast, found -> String.format(Locale.ROOT, "%.1f", found.requestsPerSecond())),
                "tokens_per_s",
                text(forecast, found -> Math.round(found.tokensPerSecond())),
                "rate_age_ms",
                text(forecast, Forecast::ageMillis));
    }

    private static String text(Optional<Forecast> forecast, Function<Forecast, Object> figure) {
        return forecast.map(figure).map(Object::toString).orElse("unknown");
    }

    private static String softwareOf(Target target) {
        return target.registration().softwareVersion().orElse("unknown");
    }

    private boolean isWarmingUp(Target target, long now) {
        return plan.warmUp()
                .filter(traits -> state.warmUps().isWarmingUp(target, traits, now))
                .isPresent();
    }

    void failed(String target, AttemptOutcome outcome, String reason, long afterMillis, boolean answerBegan) {
        logFailed(
                failedFields(target, outcome, reason, afterMillis, answerBegan),
                List.of("body_end", "none", "fingerprint", "none"));
    }

    /** Logs a broken attempt with what other requests may share with it, and what identifies it when it is repeated. */
    void broken(
            TargetAttempt attempt,
            String reason,
            long afterMillis,
            boolean answerBegan,
            RequestFingerprint fingerprint) {
        logFailed(
                failedFields(attempt.target().id(), AttemptOutcome.BROKEN, reason, afterMillis, answerBegan),
                List.of(
                        "body_end",
                        attempt.bodyEnd().orElse("none"),
                        "fingerprint",
                        fingerprint.toHex(),
                        "customer",
                        plan.customerName(),
                        "parts",
                        PartChoiceFormat.ids(plan.metadata().parts())));
    }

    private List<String> failedFields(
            String target, AttemptOutcome outcome, String reason, long afterMillis, boolean answerBegan) {
        return List.of(
                "request",
                plan.id(),
                "target",
                target,
                "outcome",
                outcome.name(),
                "reason",
                reason,
                "after_ms",
                Long.toString(afterMillis),
                "began",
                Boolean.toString(answerBegan));
    }

    private void logFailed(List<String> fields, List<String> more) {
        state.log()
                .info(
                        "attempt_failed",
                        Stream.concat(fields.stream(), more.stream()).toArray(String[]::new));
    }

    /**
     * Logs the end of a request.
     *
     * @param runs attempts that may have run, not counting one that was answered
     * @param notRunSends attempts that certainly did not run
     */
    void ended(FinalReply.Ending ending, int runs, int notRunSends) {
        if (state.isStopping()) {
            stopLog.requestEnded(plan, ending, attempt.isPresent());
        }
        state.log()
                .info(
                        "request_ended",
                        "request",
                        plan.id(),
                        "route",
                        plan.route().name(),
                        "outcome",
                        ending.outcome(),
                        "reason",
                        ending.reason(),
                        "ms",
                        Long.toString(state.nowMillis() - plan.arrivedAt()),
                        "target",
                        attempt.map(sent -> sent.target().id()).orElse("none"),
                        "software",
                        attempt.map(sent -> softwareOf(sent.target())).orElse("none"),
                        "sent_after_ms",
                        attempt.map(sent -> Long.toString(sent.sentAt() - plan.arrivedAt()))
                                .orElse("none"),
                        "first_after_ms",
                        attempt.map(sent -> Long.toString(sent.firstByteMillis()))
                                .orElse("none"),
                        "body_end",
                        attempt.flatMap(TargetAttempt::bodyEnd).orElse("none"),
                        "longest_pause_ms",
                        attempt.map(sent -> Long.toString(sent.maxPauseMillis()))
                                .orElse("none"),
                        "pause_objective_ms",
                        Long.toString(plan.route().maxPauseMillis()),
                        "tokens",
                        Integer.toString(plan.tokens()),
                        "unread",
                        attempt.map(sent -> Integer.toString(sent.cost().prefillTokens()))
                                .orElse("none"),
                        "load",
                        load,
                        "runs",
                        Integer.toString(runs),
                        "unrun_sends",
                        Integer.toString(notRunSends),
                        "objective_ms",
                        Long.toString(plan.route().objectiveMillis()),
                        "left_ms",
                        Long.toString(plan.remainingMillis()));
    }
}
