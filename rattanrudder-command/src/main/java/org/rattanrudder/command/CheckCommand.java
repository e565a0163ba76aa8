package org.rattanrudder.command;

import java.util.List;
import org.rattanrudder.document.DefaultValue;
import org.rattanrudder.document.ParseResult;
import org.rattanrudder.document.Problem;
import org.rattanrudder.document.ProcessSettingsParser;
import org.rattanrudder.document.ServiceDocumentParser;

/** Checks a file without publishing it. */
final class CheckCommand {
    private CheckCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        String file = invocation.argument("the file to check");
        String text = Invocation.readFile(file);
        ParseResult<?> result = invocation.has("settings")
                ? new ProcessSettingsParser().parse(text)
                : new ServiceDocumentParser().parse(text);
        Output output = invocation.output();
        if (result instanceof ParseResult.Rejected<?> rejected) {
            rejected.problems().forEach(problem -> output.problem(problem.in(file)));
            output.value(new Checked(file, false, rejected.problems(), List.of()));
            return ExitCode.INVALID_DOCUMENT;
        }
        List<DefaultValue> defaults = ((ParseResult.Accepted<?>) result).defaults();
        output.line(file + " holds");
        output.line(defaults.isEmpty() ? "no defaults were filled in" : "defaults that were filled in:");
        defaults.forEach(each -> output.line("  " + each));
        output.value(new Checked(file, true, List.of(), defaults));
        return ExitCode.DONE;
    }

    /** The JSON of a check. */
    private record Checked(String file, boolean holds, List<Problem> problems, List<DefaultValue> defaults) {}
}
