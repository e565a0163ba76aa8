package org.rattanrudder.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.RunState;
import org.rattanrudder.operator.OperatorJson;
import org.rattanrudder.operator.PublishRequest;

/** Asks entries, one after the other until one answers. */
final class EntryClient {
    private static final int FIRST_ERROR_STATUS = 300;

    private final List<Address> entries;
    private final String credential;
    private final Exchange exchange;

    EntryClient(List<Address> entries, String credential, Exchange exchange) {
        this.entries = List.copyOf(entries);
        this.credential = credential;
        this.exchange = exchange;
    }

    List<Address> entries() {
        return entries;
    }

    /** Reads something from the first entry that answers. */
    <T> T read(String path, Class<T> type) throws CommandFailure {
        return call("GET", path, "", type);
    }

    /** Asks something with a body that changes nothing. */
    <T> T ask(String path, Object body, Class<T> type) throws CommandFailure {
        return call("POST", path, OperatorJson.write(body), type);
    }

    /** Publishes an edit; tries another entry only where the one before can't have begun with it. */
    OperatorReply.Published publish(String service, PublishRequest request) throws CommandFailure {
        String path = "/operator/services/" + service;
        String body = OperatorJson.write(request);
        List<String> failures = new ArrayList<>();
        for (Address entry : entries) {
            Exchange.Reply reply = send(entry, "POST", path, body);
            if (reply instanceof Exchange.Reply.Failed failed) {
                // Once bytes were sent, the edit may be in the log: sending it again through another entry would
                // make the operator's own edit lose against itself and report a conflict that never was.
                if (!failed.nothingSent()) {
                    throw new CommandFailure(ExitCode.UNKNOWN, entry + ": " + failed.detail());
                }
                failures.add(entry + ": " + failed.detail());
                continue;
            }
            Exchange.Reply.Answered answered = (Exchange.Reply.Answered) reply;
            Optional<Refusal> refusal = refusal(entry, answered);
            if (refusal.isEmpty()) {
                return parse(entry, answered.body(), OperatorReply.Published.class);
            }
            if (!mayTryNext(refusal.get())) {
                throw failure(entry, refusal.get());
            }
            failures.add(entry + ": " + refusal.get().detail());
        }
        throw unreachable(failures);
    }

    /** Reads the same from every entry, in their order. */
    <T> List<PerEntry<T>> readAll(String path, Class<T> type) {
        List<PerEntry<T>> answers = new ArrayList<>();
        for (Address entry : entries) {
            answers.add(readOne(entry, path, type));
        }
        return answers;
    }

    /**
     * What one entry said.
     *
     * @param entry its address
     * @param value its answer; empty if it gave none
     * @param failure why there is none; empty if there is one
     * @param <T> the type of the answer
     */
    record PerEntry<T>(Address entry, Optional<T> value, String failure) {}

    private <T> PerEntry<T> readOne(Address entry, String path, Class<T> type) {
        Exchange.Reply reply = send(entry, "GET", path, "");
        if (reply instanceof Exchange.Reply.Failed failed) {
            return new PerEntry<>(entry, Optional.empty(), failed.detail());
        }
        try {
            Exchange.Reply.Answered answered = (Exchange.Reply.Answered) reply;
            Optional<Refusal> refusal = refusal(entry, answered);
            return refusal.isPresent()
                    ? new PerEntry<>(entry, Optional.empty(), refusal.get().detail())
                    : new PerEntry<>(entry, Optional.of(parse(entry, answered.body(), type)), "");
        } catch (CommandFailure unreadable) {
            return new PerEntry<>(entry, Optional.empty(), unreadable.getMessage());
        }
    }

    private <T> T call(String method, String path, String body, Class<T> type) throws CommandFailure {
        List<String> failures = new ArrayList<>();
        for (Address entry : entries) {
            Exchange.Reply reply = send(entry, method, path, body);
            if (reply instanceof Exchange.Reply.Failed failed) {
                failures.add(entry + ": " + failed.detail());
                continue;
            }
            Exchange.Reply.Answered answered = (Exchange.Reply.Answered) reply;
            Optional<Refusal> refusal = refusal(entry, answered);
            if (refusal.isPresent()) {
                throw failure(entry, refusal.get());
            }
            return parse(entry, answered.body(), type);
        }
        throw unreachable(failures);
    }

    private Exchange.Reply send(Address entry, String method, String path, String body) {
        return exchange.exchange(entry, new Exchange.Request(method, path, body, credential));
    }

    private static Optional<Refusal> refusal(Address entry, Exchange.Reply.Answered answered) throws CommandFailure {
        if (answered.status() < FIRST_ERROR_STATUS) {
            return Optional.empty();
        }
        try {
            return Optional.of(OperatorJson.readError(answered.body()));
        } catch (IOException noError) {
            throw new CommandFailure(
                    ExitCode.REFUSED, entry + " answered with status " + answered.status() + " and no known error");
        }
    }

    private static boolean mayTryNext(Refusal refusal) {
        return refusal.kind().runState() == RunState.NOT_RUN
                && refusal.kind().retryAdvice() == ErrorKind.RetryAdvice.AT_ONCE;
    }

    private static CommandFailure failure(Address entry, Refusal refusal) {
        ExitCode code = switch (refusal.kind()) {
            case REVISION_CONFLICT -> ExitCode.CONFLICT;
            case INVALID_DOCUMENT -> ExitCode.INVALID_DOCUMENT;
            case OUTCOME_UNKNOWN, INTERNAL -> ExitCode.UNKNOWN;
            default -> ExitCode.REFUSED;
        };
        return new CommandFailure(code, entry + ": " + refusal.kind().wireName() + ": " + refusal.detail());
    }

    private static CommandFailure unreachable(List<String> failures) {
        return new CommandFailure(ExitCode.UNREACHABLE, "no entry answered (" + String.join("; ", failures) + ")");
    }

    private static <T> T parse(Address entry, String body, Class<T> type) throws CommandFailure {
        try {
            return OperatorJson.read(body, type);
        } catch (IOException otherShape) {
            throw new CommandFailure(ExitCode.REFUSED, entry + " gave an answer that this release can't read");
        }
    }
}
