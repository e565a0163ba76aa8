package org.rattanrudder.daemon.relay.serving;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.parts.PartChoice;
import org.rattanrudder.core.parts.PartPlan;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Records the prompts that are sent to engines. */
final class SentPrompts {
    private SentPrompts() {}

    /** Counts the parts that the target fetches and saves, and logs with what the prompt is sent. */
    static void record(
            RelayState state, RequestMetadata metadata, Target target, Optional<String> salt, PartPlan parts) {
        int read = count(parts.sources());
        int saved = count(parts.destinations());
        state.metrics().recordParts("read", read);
        state.metrics().recordParts("saved", saved);
        state.metrics().recordParts("retired", Collections.frequency(parts.choices(), PartChoice.RETIRED));
        state.log()
                .info(
                        "request_sent",
                        "request",
                        metadata.id(),
                        "target",
                        target.id(),
                        "salt",
                        salt.orElse("own"),
                        "weights",
                        metadata.model()
                                .map(name -> Long.toString(target.weights(name)))
                                .orElse("none"),
                        "newest",
                        metadata.model()
                                .flatMap(state.weights()::newestKnown)
                                .map(known -> known.version() + "/" + known.ageText(state.atMostMillis()) + "/"
                                        + known.source().wireName())
                                .orElse("none"),
                        "suspended_ms",
                        state.clock().certainSurplusMillis() + "/"
                                + state.clock().possibleSurplusMillis(),
                        "shared_parts",
                        Integer.toString(Math.max(0, metadata.parts().size() - 1)),
                        "read",
                        Integer.toString(read),
                        "saved",
                        Integer.toString(saved),
                        "fetch_until",
                        parts.untilMillis().isPresent()
                                ? Long.toString(parts.untilMillis().getAsLong())
                                : "none",
                        "parts",
                        PartChoiceFormat.format(metadata.parts(), parts.choices()));
    }

    private static int count(List<? extends Optional<?>> places) {
        return (int) places.stream().filter(Optional::isPresent).count();
    }
}
