package org.rattanrudder.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.rattanrudder.core.companion.CompanionEvent;

/** The metrics of a companion, updated from the events of its state machine. */
public final class CompanionMetrics {
    private final PrometheusRegistry registry;
    private final Counter answers;
    private final Counter moves;
    private final Counter movedBytes;
    private final Counter orders;
    private final Counter gaps;

    /** Registers the metrics. */
    public CompanionMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        answers = counter("rattanrudder_target_answers", "Calls to targets that ended, by outcome", "outcome");
        moves = counter("rattanrudder_block_moves", "Moves of cache blocks that ended, by outcome", "outcome");
        movedBytes = counter("rattanrudder_moved_bytes", "Bytes of cache blocks that went over a link");
        orders = counter("rattanrudder_orders", "Orders and questions answered by targets, by outcome", "outcome");
        gaps = counter("rattanrudder_cache_event_gaps", "Gaps in the cache events of engines");
    }

    /** Registers a gauge whose value is read on each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Updates the metrics for an event. */
    public void count(CompanionEvent event) {
        if (event instanceof CompanionEvent.TargetAnswerEnded) {
            answers.labelValues("whole").inc();
        } else if (event instanceof CompanionEvent.TargetFailed failed) {
            answers.labelValues(failed.nothingSent() ? "not_sent" : "broken").inc();
        } else if (event instanceof CompanionEvent.MoveEnded ended) {
            moves.labelValues(label(ended.outcome())).inc();
            movedBytes.inc(ended.bytes());
        } else if (event instanceof CompanionEvent.OrderAnswered answered) {
            orders.labelValues(label(answered.outcome())).inc();
        } else if (event instanceof CompanionEvent.CacheEventsReported reported && reported.gap()) {
            gaps.inc();
        }
    }

    private static String label(Enum<?> outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }
}
