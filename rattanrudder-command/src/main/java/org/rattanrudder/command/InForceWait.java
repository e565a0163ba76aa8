package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.frame.Frame;

/** Waits until a revision is in force at every entry named and every companion of its service. */
final class InForceWait {
    static final long DEFAULT_SECONDS = 30;

    /** How long one pause between two looks lasts, in milliseconds. */
    static final long PAUSE_MILLIS = 200;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Invocation invocation;
    private final EntryClient client;

    InForceWait(Invocation invocation, EntryClient client) {
        this.invocation = invocation;
        this.client = client;
    }

    ExitCode await(ServiceDocument document, OperatorReply.Published published) throws CommandFailure {
        String given = invocation.option("wait-seconds").orElse(Long.toString(DEFAULT_SECONDS));
        long seconds = invocation.number("wait-seconds", given, 1);
        long looks = Math.max(1, seconds * MILLIS_PER_SECOND / PAUSE_MILLIS);
        List<String> lagging = lagging(document, published);
        for (long look = 1; look < looks && !lagging.isEmpty(); look++) {
            invocation.pause().run();
            lagging = lagging(document, published);
        }
        Output output = invocation.output();
        output.value(new Waited(published.service().value(), published.revision(), lagging.isEmpty(), lagging));
        if (lagging.isEmpty()) {
            output.line("in force everywhere");
            return ExitCode.DONE;
        }
        output.line("accepted, but not in force after " + seconds + " s at:");
        lagging.forEach(each -> output.line("  " + each));
        return ExitCode.LAGGING;
    }

    private List<String> lagging(ServiceDocument document, OperatorReply.Published published) {
        List<String> lagging = new ArrayList<>();
        Set<String> current = new HashSet<>();
        for (EntryClient.PerEntry<OperatorReply.SystemStatus> each :
                client.readAll("/operator/status", OperatorReply.SystemStatus.class)) {
            Optional<String> trouble = each.value().isEmpty()
                    ? Optional.of(each.failure())
                    : behind(each.value().get().services(), published);
            trouble.ifPresent(text -> lagging.add("entry " + each.entry() + ": " + text));
            each.value()
                    .ifPresent(status -> status.companions().stream()
                            .filter(companion -> companion.connected()
                                    && behind(companion.revisions(), published).isEmpty())
                            .forEach(companion -> current.add(companion.address())));
        }
        companions(document).stream()
                .filter(address -> !current.contains(address))
                .forEach(address ->
                        lagging.add("companion " + address + ": not known to hold revision " + published.revision()));
        return lagging;
    }

    private static Set<String> companions(ServiceDocument document) {
        return document.targets().stream()
                .map(target -> target.companion().toString())
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    private static Optional<String> behind(List<Frame.ServiceRevision> revisions, OperatorReply.Published published) {
        long held = revisions.stream()
                .filter(each -> each.service().equals(published.service()))
                .mapToLong(Frame.ServiceRevision::revision)
                .findFirst()
                .orElse(0);
        return held >= published.revision() ? Optional.empty() : Optional.of("holds revision " + held);
    }

    /** The JSON of a wait. */
    private record Waited(String service, long revision, boolean inForce, List<String> lagging) {}
}
