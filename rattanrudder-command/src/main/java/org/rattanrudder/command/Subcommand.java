package org.rattanrudder.command;

import java.util.function.Consumer;
import joptsimple.OptionParser;

/**
 * One subcommand.
 *
 * @param name what the operator types, such as {@code report burn}
 * @param arguments its arguments in the usage line
 * @param summary one line for the list of subcommands
 * @param details what it does and how it ends
 * @param callsEntries whether it needs entries and a credential
 * @param options declares its own options
 * @param action runs it
 */
record Subcommand(
        String name,
        String arguments,
        String summary,
        String details,
        boolean callsEntries,
        Consumer<OptionParser> options,
        Action action) {

    /** Runs a subcommand. */
    @FunctionalInterface
    interface Action {
        /** Runs and says how it ended. */
        ExitCode run(Invocation invocation) throws CommandFailure;
    }

    /** Returns a parser for its options and those that all share. */
    OptionParser parser() {
        OptionParser parser = new OptionParser();
        parser.accepts("json", "write one JSON value instead of text");
        parser.accepts("help", "explain this command");
        if (callsEntries) {
            parser.accepts("entry", "an entry to ask; may be given several times, the next is tried if one fails")
                    .withRequiredArg()
                    .describedAs("HOST:PORT");
            parser.accepts("credential-file", "a file that holds the operators' credential")
                    .withRequiredArg()
                    .describedAs("FILE");
        }
        options.accept(parser);
        return parser;
    }
}
