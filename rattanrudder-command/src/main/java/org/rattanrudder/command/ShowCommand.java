package org.rattanrudder.command;

import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.model.ServiceName;

/** Shows the document in force. */
final class ShowCommand {
    private ShowCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        String service = invocation.argument("the service");
        OperatorReply.Shown shown = shown(invocation.client(), service);
        Output output = invocation.output();
        if (output.isJson()) {
            output.value(shown);
            return ExitCode.DONE;
        }
        output.raw(shown.text());
        output.problem("revision " + shown.revision());
        return ExitCode.DONE;
    }

    /** Returns the document in force. */
    static OperatorReply.Shown shown(EntryClient client, String service) throws CommandFailure {
        try {
            return client.read("/operator/services/" + new ServiceName(service), OperatorReply.Shown.class);
        } catch (IllegalArgumentException noName) {
            throw new CommandFailure(ExitCode.USAGE, noName.getMessage());
        }
    }
}
