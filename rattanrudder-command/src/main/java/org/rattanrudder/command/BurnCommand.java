package org.rattanrudder.command;

import java.util.List;
import java.util.stream.Collectors;
import org.rattanrudder.core.burn.BurnReport;
import org.rattanrudder.core.burn.BurnSnapshot;

/** Asks all entries for their counts, merges them and reports the burn. */
final class BurnCommand {
    private BurnCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        invocation.noArguments();
        List<EntryClient.PerEntry<BurnSnapshot>> answers =
                invocation.client().readAll("/operator/burn", BurnSnapshot.class);
        List<String> silent = answers.stream()
                .filter(each -> each.value().isEmpty())
                .map(each -> each.entry() + ": " + each.failure())
                .toList();
        if (silent.size() == answers.size()) {
            throw new CommandFailure(
                    ExitCode.UNREACHABLE,
                    "no entry answered (" + silent.stream().collect(Collectors.joining("; ")) + ")");
        }
        BurnReport report = answers.stream()
                .flatMap(each -> each.value().stream())
                .map(BurnReport::of)
                .reduce(BurnReport.EMPTY, BurnReport::merge);
        BurnView view = BurnView.of(report, silent);
        Output output = invocation.output();
        output.value(view);
        BurnTable.write(view, output);
        if (invocation.option("html").isPresent()) {
            String file = invocation.required("html");
            Invocation.writeFile(file, new BurnPage(report, view).html());
            output.line("");
            output.line("page written to " + file);
        }
        return ExitCode.DONE;
    }
}
