package org.rattanrudder.standins.load;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.deployment.Layout;

/** Sends each request to one of the entries in turn, as the platform's balancer does. */
final class EntryRoute implements Route {
    private final CallerClient client = new CallerClient();
    private final List<Address> entries;
    private final Layout.Document prompts;
    private final Layout.Document plain;

    EntryRoute(Layout layout, Shape shape) {
        entries = layout.entryAddresses();
        prompts = layout.document(shape.promptService());
        plain = layout.document(shape.plainService());
    }

    @Override
    public CompletableFuture<Answer> send(LoadRequest request, int number) {
        Address entry = entries.get(number % entries.size());
        if (!request.isPrompt()) {
            Caller caller = new Caller(client, plain.credential(request.customer()));
            return caller.keyed(entry, plain.service(), "/entries", "load-" + number, request.question());
        }
        Caller caller = new Caller(client, prompts.credential(request.customer()));
        return caller.prompt(entry, prompts.service(), request.requestClass(), request.text(), request.answerTokens());
    }
}
