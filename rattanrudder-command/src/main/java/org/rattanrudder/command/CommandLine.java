package org.rattanrudder.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Finds the subcommand that was asked for, runs it, and turns every failure into a line and an exit code. */
final class CommandLine {
    private static final String PROGRAM = "rattanrudder";
    private static final int NAME_COLUMN = 14;

    private final PrintStream out;
    private final PrintStream err;
    private final Invocation.World world;

    CommandLine(PrintStream out, PrintStream err, Invocation.World world) {
        this.out = out;
        this.err = err;
        this.world = world;
    }

    /** Runs the command line and returns how it ended. */
    ExitCode run(String... arguments) {
        List<String> words = Arrays.asList(arguments);
        if (words.isEmpty()) {
            err.print(overview());
            return ExitCode.USAGE;
        }
        String first = words.get(0);
        if (first.equals("help") || first.equals("--help") || first.equals("-h")) {
            return help(words.subList(1, words.size()));
        }
        Optional<Subcommand> found = find(words);
        if (found.isEmpty()) {
            return unknown(words);
        }
        int nameWords = found.get().name().split(" ").length;
        return run(found.get(), words.subList(nameWords, words.size()).toArray(new String[0]));
    }

    private ExitCode run(Subcommand subcommand, String[] arguments) {
        boolean json = Arrays.asList(arguments).contains("--json");
        Output output = new Output(out, err, json);
        try {
            OptionSet options = subcommand.parser().parse(arguments);
            if (options.has("help")) {
                out.print(usage(subcommand));
                return ExitCode.DONE;
            }
            return subcommand.action().run(new Invocation(options, output, world));
        } catch (OptionException misunderstood) {
            String hint = " (see " + PROGRAM + " help " + subcommand.name() + ")";
            return failed(output, ExitCode.USAGE, misunderstood.getMessage() + hint);
        } catch (CommandFailure failure) {
            return failed(output, failure.exitCode(), failure.getMessage());
        } catch (RuntimeException fault) {
            return failed(output, ExitCode.INTERNAL, "a fault of this command: " + fault);
        }
    }

    private static ExitCode failed(Output output, ExitCode code, String message) {
        output.value(new Failure(new FailureDetail(code.number(), code.name().toLowerCase(), message)));
        output.problem(PROGRAM + ": " + message);
        return code;
    }

    private ExitCode help(List<String> words) {
        if (words.isEmpty()) {
            out.print(overview());
            return ExitCode.DONE;
        }
        Optional<Subcommand> found = find(words);
        if (found.isEmpty()) {
            return unknown(words);
        }
        out.print(usage(found.get()));
        return ExitCode.DONE;
    }

    private ExitCode unknown(List<String> words) {
        err.println(PROGRAM + ": no command is called \"" + String.join(" ", words) + "\"; see " + PROGRAM + " help");
        return ExitCode.USAGE;
    }

    private static Optional<Subcommand> find(List<String> words) {
        return Subcommands.ALL.stream()
                .filter(each -> {
                    List<String> name = List.of(each.name().split(" "));
                    return words.size() >= name.size()
                            && words.subList(0, name.size()).equals(name);
                })
                .findFirst();
    }

    private static String overview() {
        StringBuilder text = new StringBuilder("usage: " + PROGRAM + " COMMAND [OPTION]...\n\n");
        for (Subcommand each : Subcommands.ALL) {
            text.append(String.format("  %-" + NAME_COLUMN + "s %s%n", each.name(), each.summary()));
        }
        text.append(String.format("  %-" + NAME_COLUMN + "s %s%n", "help COMMAND", "explain one command"));
        text.append("\nexit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append("  ")
                    .append(code.number())
                    .append("  ")
                    .append(code.meaning())
                    .append('\n');
        }
        return text.toString();
    }

    private static String usage(Subcommand subcommand) {
        StringWriter text = new StringWriter();
        text.write("usage: " + PROGRAM + " " + subcommand.name() + " " + subcommand.arguments() + "\n\n");
        text.write(subcommand.details().strip() + "\n\n");
        try {
            OptionParser parser = subcommand.parser();
            parser.printHelpOn(text);
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to a string", impossible);
        }
        if (subcommand.callsEntries()) {
            text.write("\n" + Invocation.ENTRIES_VARIABLE + " may name the entries, separated by commas, and "
                    + Invocation.CREDENTIAL_VARIABLE + " the credential.\n");
        }
        return text.toString();
    }

    /** The JSON of a failed command. */
    private record Failure(FailureDetail error) {}

    /** What went wrong. */
    private record FailureDetail(int exitCode, String kind, String message) {}
}
