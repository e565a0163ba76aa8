package org.rattanrudder.command;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Tells from logs what became of one request. */
final class ExplainRequestCommand {
    private ExplainRequestCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        String request = invocation.argument("the request's id");
        RequestStory story = RequestStory.of(request, invocation.inputLines());
        Output output = invocation.output();
        output.value(new Explained(request, story.steps()));
        if (story.steps().isEmpty()) {
            output.problem("no line is about request " + request
                    + ": are the logs of all relays given, and of the time when it was sent?");
            return ExitCode.DIFFERENT;
        }
        output.line(
                "request " + request + ", first line at " + story.steps().get(0).time());
        for (RequestStory.Step step : story.steps()) {
            String source = step.source().isEmpty() ? "" : step.source() + ": ";
            output.line(String.format("%8d ms  %s%s", step.afterMillis(), source, step.meaning()));
            output.line("             " + fields(step.fields()));
        }
        return ExitCode.DONE;
    }

    private static String fields(Map<String, String> fields) {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
    }

    /** The JSON of a story. */
    private record Explained(String request, List<RequestStory.Step> steps) {}
}
