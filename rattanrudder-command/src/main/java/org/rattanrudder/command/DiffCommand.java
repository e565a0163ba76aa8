package org.rattanrudder.command;

import java.util.List;
import org.rattanrudder.core.entry.OperatorReply;

/** Compares a document with the one in force. */
final class DiffCommand {
    private DiffCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        String file = invocation.argument("the file to compare");
        String text = Invocation.readFile(file);
        String service =
                PublishCommand.document(invocation, file, text).service().value();
        OperatorReply.Shown shown = ShowCommand.shown(invocation.client(), service);
        List<String> lines = LineDiff.of(shown.text(), text);
        boolean same = shown.text().equals(text);
        Output output = invocation.output();
        output.line("- " + service + " revision " + shown.revision() + ", in force");
        output.line("+ " + file);
        lines.forEach(output::line);
        if (lines.isEmpty()) {
            output.line(same ? "no difference" : "only line ends differ");
        }
        output.value(new Compared(service, shown.revision(), same, lines));
        return same ? ExitCode.DONE : ExitCode.DIFFERENT;
    }

    /** The JSON of a comparison. */
    private record Compared(String service, long revision, boolean same, List<String> lines) {}
}
