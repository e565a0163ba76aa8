package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.operator.ExplainRequest;

/** Says where a request would go and what else was weighed. */
final class ExplainCommand {
    private static final double MICROS_PER_MILLI = 1_000;

    private ExplainCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        invocation.noArguments();
        String prompt =
                invocation.option("prompt").isPresent() ? Invocation.readFile(invocation.required("prompt")) : "";
        ExplainRequest request = new ExplainRequest(
                invocation.required("service"),
                invocation.required("customer"),
                invocation.option("class").orElse(""),
                prompt);
        OperatorReply.Explanation explanation =
                invocation.client().ask("/operator/explain", request, OperatorReply.Explanation.class);
        Output output = invocation.output();
        output.value(explanation);
        output.line(
                explanation.chosen().isEmpty()
                        ? "it would be refused: " + explanation.reason()
                        : "it would go to " + explanation.chosen() + ": " + explanation.reason());
        output.line("");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("TARGET", "ESTIMATE", "WAIT", "CONTEXT", "NOTE"));
        explanation
                .weighed()
                .forEach(each -> rows.add(List.of(
                        each.target(),
                        millis(each.estimateMicros()),
                        millis(each.waitMicros()),
                        millis(each.contextMicros()),
                        each.note())));
        output.table(rows);
        return ExitCode.DONE;
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.1f ms", micros / MICROS_PER_MILLI);
    }
}
