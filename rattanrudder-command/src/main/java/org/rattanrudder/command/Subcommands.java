package org.rattanrudder.command;

import java.util.List;
import java.util.function.Consumer;
import joptsimple.OptionParser;

/** The table of all subcommands. */
final class Subcommands {
    static final List<Subcommand> ALL = List.of(
            new Subcommand(
                    "check",
                    "FILE",
                    "check a document or a settings file without publishing it",
                    """
                    Reads a service document (or with --settings the settings of a process) and names every problem
                    with file, line, column, what was expected and the nearest known name. Shows the defaults that
                    were filled in. Ends with 3 if the file doesn't hold.""",
                    false,
                    parser -> parser.accepts("settings", "the file holds the settings of a process"),
                    CheckCommand::run),
            new Subcommand(
                    "publish",
                    "FILE --from REVISION",
                    "publish an edited document",
                    """
                    Publishes a document that was edited from a revision (0 for a new service) and waits until it is
                    known whether it is accepted. If another edit came first, this one is void: ends with 4, and
                    nothing was changed. With --wait it also waits until the document is in force at every entry
                    named and every companion of the service, and names those that lag.""",
                    true,
                    both(Subcommands::fromRevision, Subcommands::waiting),
                    PublishCommand::run),
            new Subcommand(
                    "show",
                    "SERVICE",
                    "show the document in force",
                    """
                    Writes the document in force as it was published, comments and all, on the output, and its
                    revision on the error stream. Written to a file, the output is what to edit, and the revision is
                    what to publish from.""",
                    true,
                    Subcommands::noOptions,
                    ShowCommand::run),
            new Subcommand(
                    "diff",
                    "FILE",
                    "compare a document with the one in force",
                    """
                    Compares a file line by line with the document of its service that is in force. Ends with 0 if
                    they are the same and with 1 if not.""",
                    true,
                    Subcommands::noOptions,
                    DiffCommand::run),
            new Subcommand(
                    "status",
                    "",
                    "show entries, companions, targets, loads and versions",
                    """
                    Shows every entry named, and the services, companions and targets as the first one that answers
                    sees them: failure domains, heartbeats, loads, weight versions, drains, revisions in force.""",
                    true,
                    Subcommands::noOptions,
                    StatusCommand::run),
            new Subcommand(
                    "explain",
                    "--service SERVICE --customer CUSTOMER",
                    "say where a request would go and what else was weighed",
                    """
                    Says where a request would run, why, and what every other target was weighed at. Nothing runs.""",
                    true,
                    parser -> {
                        required(parser, "service", "the service", "SERVICE");
                        required(parser, "customer", "the customer", "CUSTOMER");
                        required(parser, "class", "the request class; the service's first if left out", "CLASS");
                        required(parser, "prompt", "a file that holds the prompt's text", "FILE");
                    },
                    ExplainCommand::run),
            new Subcommand(
                    "drain",
                    "TARGET",
                    "let a target finish what it runs and get no new work",
                    """
                    Sets "draining" of the target in the document in force and publishes it from the revision shown,
                    comments kept. If somebody else edits at the same time, one of the two edits is void.""",
                    true,
                    both(Subcommands::ofService, Subcommands::waiting),
                    invocation -> DrainCommand.run(invocation, true)),
            new Subcommand(
                    "undrain",
                    "TARGET",
                    "let a drained target get new work again",
                    """
                    Unsets "draining" of the target in the document in force and publishes it from the revision
                    shown, comments kept.""",
                    true,
                    both(Subcommands::ofService, Subcommands::waiting),
                    invocation -> DrainCommand.run(invocation, false)),
            new Subcommand(
                    "report burn",
                    "",
                    "report how fast the services use up their error budgets",
                    """
                    Asks every entry named and merges what they counted: for each service and request class the
                    objective, the error budget left, the burn rate over 5 min, 1 h, 6 h and 3 d, alerts, times to
                    the first byte and the worst customers. Says which windows the entries' memory covers; what an
                    entry that was replaced or doesn't answer had counted is shown as a gap, not as zero.""",
                    true,
                    parser -> required(parser, "html", "also write a page with plots to this file", "FILE"),
                    BurnCommand::run),
            new Subcommand(
                    "report delays",
                    "",
                    "tell from logs where the time of requests went",
                    """
                    Reads the logs of any number of relays on standard input and counts for each route how its requests
                    ended. A late one stands under the step that took longest: held at the relay, attempts that failed
                    before, reading the prompt, or the target's own queue and fetches. Ends with 1 if no line tells of
                    a request's end.""",
                    false,
                    Subcommands::noOptions,
                    DelaysCommand::run),
            new Subcommand(
                    "report losses",
                    "",
                    "tell from logs where worth was lost, and which parts of prompts were read again",
                    """
                    Reads the logs of any number of relays on standard input and lays what late, refused and failed
                    requests would have been worth to reasons, routes and the seconds in which they arrived. Tells which
                    shared parts of prompts engines had to read though another one had read them lately, and why. Shares
                    below 0.01 aren't shown. Ends with 1 if no line tells of a request's end.""",
                    false,
                    parser -> {
                        required(parser, "worth", "what a request of a route is worth; 1 if left out", "ROUTE=NUMBER");
                        required(parser, "late-share", "what a late request keeps of it; 0.2 if left out", "SHARE");
                        required(parser, "reuse-seconds", "how long a part counts as read; 20 if left out", "SECONDS");
                        required(parser, "load-test", "a load test's report in JSON, for what it priced", "FILE");
                    },
                    LossesCommand::run),
            new Subcommand(
                    "explain-request",
                    "ID",
                    "tell from logs what became of one request",
                    """
                    Reads the logs of any number of processes on standard input, in any order, and prints what happened
                    to the request, step by step, each with what decided it. Ends with 1 if no line is about it.""",
                    false,
                    Subcommands::noOptions,
                    ExplainRequestCommand::run));

    private Subcommands() {}

    private static Consumer<OptionParser> both(Consumer<OptionParser> first, Consumer<OptionParser> second) {
        return first.andThen(second);
    }

    private static void required(OptionParser parser, String name, String meaning, String value) {
        parser.accepts(name, meaning).withRequiredArg().describedAs(value);
    }

    private static void noOptions(OptionParser parser) {
        // It has none but the shared ones.
    }

    private static void fromRevision(OptionParser parser) {
        required(parser, "from", "the revision that the file was edited from", "REVISION");
    }

    private static void ofService(OptionParser parser) {
        required(parser, "service", "the service, where two have a target of this name", "SERVICE");
    }

    private static void waiting(OptionParser parser) {
        parser.accepts("wait", "wait until it is in force everywhere, and name those that lag");
        required(
                parser, "wait-seconds", "how long to wait; " + InForceWait.DEFAULT_SECONDS + " if left out", "SECONDS");
    }
}
