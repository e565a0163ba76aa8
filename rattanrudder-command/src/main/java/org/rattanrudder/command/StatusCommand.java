package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.entry.OperatorReply.CompanionStatus;
import org.rattanrudder.core.entry.OperatorReply.SystemStatus;
import org.rattanrudder.core.frame.Frame;

/** Shows the state of the system as the entries see it. */
final class StatusCommand {
    private static final long MICROS_PER_MILLI = 1_000;

    private StatusCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        invocation.noArguments();
        EntryClient client = invocation.client();
        List<EntryClient.PerEntry<SystemStatus>> answers = client.readAll("/operator/status", SystemStatus.class);
        Optional<SystemStatus> first =
                answers.stream().flatMap(each -> each.value().stream()).findFirst();
        if (first.isEmpty()) {
            throw new CommandFailure(
                    ExitCode.UNREACHABLE,
                    "no entry answered ("
                            + answers.stream()
                                    .map(each -> each.entry() + ": " + each.failure())
                                    .collect(Collectors.joining("; "))
                            + ")");
        }
        Output output = invocation.output();
        output.value(
                new WholeStatus(answers.stream().map(StatusCommand::entryLine).toList()));
        entries(output, answers);
        services(output, first.get());
        targets(output, first.get());
        return ExitCode.DONE;
    }

    private static EntryLine entryLine(EntryClient.PerEntry<SystemStatus> each) {
        return new EntryLine(
                each.entry().toString(), each.failure(), each.value().orElse(null));
    }

    private static void entries(Output output, List<EntryClient.PerEntry<SystemStatus>> answers) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("ENTRY", "ADDRESS", "DOMAIN", "LOG", "COMPANIONS HEARD"));
        for (EntryClient.PerEntry<SystemStatus> each : answers) {
            rows.add(each.value()
                    .map(status -> List.of(
                            status.instance(),
                            each.entry().toString(),
                            status.failureDomain(),
                            status.logReachable() ? "answers" : "DOESN'T ANSWER",
                            heard(status)))
                    .orElse(List.of("?", each.entry().toString(), "?", "?", "no answer: " + each.failure())));
        }
        output.table(rows);
    }

    private static String heard(SystemStatus status) {
        long heard =
                status.companions().stream().filter(CompanionStatus::connected).count();
        return heard + " of " + status.companions().size();
    }

    private static void services(Output output, SystemStatus status) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("SERVICE", "REVISION", "COMPANIONS BEHIND"));
        for (Frame.ServiceRevision service : status.services()) {
            long behind = status.companions().stream()
                    .flatMap(companion -> companion.revisions().stream())
                    .filter(held -> held.service().equals(service.service()) && held.revision() < service.revision())
                    .count();
            rows.add(List.of(service.service().value(), Long.toString(service.revision()), Long.toString(behind)));
        }
        output.line("");
        output.table(rows);
    }

    private static void targets(Output output, SystemStatus status) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of("COMPANION", "DOMAIN", "HEARTBEAT", "TARGET", "STATE", "RUNNING", "QUEUED", "WAIT", "VERSION"));
        for (CompanionStatus companion : status.companions()) {
            String name = companion.instance().isEmpty() ? companion.address() : companion.instance();
            if (companion.targets().isEmpty()) {
                rows.add(List.of(
                        name, companion.failureDomain(), age(companion), "-", state(companion), "-", "-", "-", "-"));
            }
            for (Frame.TargetState target : companion.targets()) {
                rows.add(List.of(
                        name,
                        companion.failureDomain(),
                        age(companion),
                        target.target().value(),
                        companion.connected() ? accepting(target) : "LOST",
                        Integer.toString(target.running()),
                        Integer.toString(target.queued()),
                        target.waitMicros() / MICROS_PER_MILLI + " ms",
                        target.weightVersion().isEmpty() ? "-" : target.weightVersion()));
            }
        }
        output.line("");
        output.table(rows);
    }

    private static String age(CompanionStatus companion) {
        return companion.heartbeatAgeMillis() < 0 ? "never" : companion.heartbeatAgeMillis() + " ms ago";
    }

    private static String state(CompanionStatus companion) {
        return companion.connected() ? "no targets" : "LOST";
    }

    private static String accepting(Frame.TargetState target) {
        return target.accepting() ? "accepts" : "takes no work";
    }

    /** The JSON of the status: one line for each entry named. */
    private record WholeStatus(List<EntryLine> entries) {}

    /** What one entry said; {@code status} is null if it gave no answer. */
    private record EntryLine(String entry, String failure, OperatorReply.SystemStatus status) {}
}
