package org.rattanrudder.command;

import java.util.Optional;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.document.ParseResult;
import org.rattanrudder.document.ServiceDocumentParser;
import org.rattanrudder.operator.PublishRequest;

/** Publishes an edited document and says whether it holds. */
final class PublishCommand {
    private PublishCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        String file = invocation.argument("the file to publish");
        long from = invocation.requiredNumber("from", 0);
        String text = Invocation.readFile(file);
        return publish(invocation, document(invocation, file, text), from, text);
    }

    /** Returns the document of a text, or names its problems. */
    static ServiceDocument document(Invocation invocation, String file, String text) throws CommandFailure {
        ParseResult<ServiceDocument> result = new ServiceDocumentParser().parse(text);
        if (result instanceof ParseResult.Rejected<ServiceDocument> rejected) {
            rejected.problems().forEach(problem -> invocation.output().problem(problem.in(file)));
            throw new CommandFailure(
                    ExitCode.INVALID_DOCUMENT,
                    file + ": " + rejected.problems().size() + " problem"
                            + (rejected.problems().size() == 1 ? "" : "s") + "; nothing was changed");
        }
        return ((ParseResult.Accepted<ServiceDocument>) result).value();
    }

    /** Publishes a text, and waits until it is in force where that was asked for. */
    static ExitCode publish(Invocation invocation, ServiceDocument document, long from, String text)
            throws CommandFailure {
        EntryClient client = invocation.client();
        String service = document.service().value();
        OperatorReply.Published published = publishOrLook(client, service, new PublishRequest(from, text));
        Output output = invocation.output();
        output.line("accepted: " + service + " revision " + published.revision() + " (edited from " + from + ")");
        if (!invocation.has("wait")) {
            output.value(published);
            return ExitCode.DONE;
        }
        return new InForceWait(invocation, client).await(document, published);
    }

    /** Where the answer was lost, the document in force may still tell that the edit was accepted. */
    private static OperatorReply.Published publishOrLook(EntryClient client, String service, PublishRequest request)
            throws CommandFailure {
        try {
            return client.publish(service, request);
        } catch (CommandFailure failure) {
            if (failure.exitCode() != ExitCode.UNKNOWN) {
                throw failure;
            }
            Optional<OperatorReply.Published> seen = look(client, service, request);
            if (seen.isEmpty()) {
                throw new CommandFailure(
                        ExitCode.UNKNOWN,
                        failure.getMessage()
                                + "; the edit isn't in force so far, but it may still become so: look with "
                                + "show before trying again");
            }
            return seen.get();
        }
    }

    private static Optional<OperatorReply.Published> look(EntryClient client, String service, PublishRequest request) {
        try {
            OperatorReply.Shown shown = ShowCommand.shown(client, service);
            boolean isOurs =
                    shown.revision() != request.baseRevision() && shown.text().equals(request.text());
            return isOurs
                    ? Optional.of(new OperatorReply.Published(shown.service(), shown.revision()))
                    : Optional.empty();
        } catch (CommandFailure notShown) {
            return Optional.empty();
        }
    }
}
