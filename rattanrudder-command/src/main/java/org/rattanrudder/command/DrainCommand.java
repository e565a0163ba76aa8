package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.document.DocumentEditor;

/** Drains a target, or takes that back, by an edit of the document in force. */
final class DrainCommand {
    private DrainCommand() {}

    static ExitCode run(Invocation invocation, boolean draining) throws CommandFailure {
        String target = invocation.argument("the target");
        Edit edit = find(invocation, target, draining);
        if (edit.text().equals(edit.shown().text())) {
            invocation
                    .output()
                    .line(target + (draining ? " is draining already" : " isn't draining") + ": nothing to change");
            invocation.output().value(edit.shown());
            return ExitCode.DONE;
        }
        ServiceDocument document =
                PublishCommand.document(invocation, edit.shown().service() + " as edited", edit.text());
        return PublishCommand.publish(invocation, document, edit.shown().revision(), edit.text());
    }

    private static Edit find(Invocation invocation, String target, boolean draining) throws CommandFailure {
        EntryClient client = invocation.client();
        List<Edit> edits = new ArrayList<>();
        for (String service : services(invocation, client)) {
            OperatorReply.Shown shown = ShowCommand.shown(client, service);
            DocumentEditor.setDraining(shown.text(), target, draining)
                    .ifPresent(text -> edits.add(new Edit(shown, text)));
        }
        if (edits.isEmpty()) {
            throw new CommandFailure(ExitCode.USAGE, "no document names a target \"" + target + "\"");
        }
        if (edits.size() > 1) {
            throw new CommandFailure(
                    ExitCode.USAGE, "several services have a target \"" + target + "\": say which by --service");
        }
        return edits.get(0);
    }

    private static List<String> services(Invocation invocation, EntryClient client) throws CommandFailure {
        Optional<String> given = invocation.option("service");
        if (given.isPresent()) {
            return List.of(given.get());
        }
        return client.read("/operator/status", OperatorReply.SystemStatus.class).services().stream()
                .map(Frame.ServiceRevision::service)
                .map(Object::toString)
                .toList();
    }

    /** A document in force and the text that it is to become. */
    private record Edit(OperatorReply.Shown shown, String text) {}
}
