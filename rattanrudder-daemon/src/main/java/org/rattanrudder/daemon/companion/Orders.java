package org.rattanrudder.daemon.companion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;

/** Gives targets their orders, each once, and asks what became of them. */
final class Orders {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;

    private final HttpCaller caller;
    private final Consumer<CompanionEvent> publish;

    Orders(HttpCaller caller, Consumer<CompanionEvent> publish) {
        this.caller = caller;
        this.publish = publish;
    }

    void give(CompanionEffect.SendOrder order) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("fencing", order.fencing())
                .put("model", order.model())
                .put("version", order.version());
        ArrayNode adapters = body.putArray("adapters");
        order.adapters().forEach(adapters::add);
        HttpRequest request =
                HttpRequest.json("POST", "/orders", body.toString().getBytes(StandardCharsets.UTF_8));
        caller.fetch(order.target(), request)
                .thenAccept(result -> publish.accept(
                        new CompanionEvent.OrderAnswered(order.name(), order.fencing(), outcome(result))));
    }

    void askLast(CompanionEffect.QueryLastOrder ask) {
        caller.fetch(ask.target(), HttpRequest.get("/orders/last"))
                .thenAccept(result -> publish.accept(lastOrder(ask, result)));
    }

    private static OrderOutcome outcome(HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered)) {
            return OrderOutcome.LOST;
        }
        return switch (answered.status()) {
            case OK -> OrderOutcome.DONE;
            case ACCEPTED -> OrderOutcome.STARTED;
            case CONFLICT -> OrderOutcome.FENCED;
            // A target that failed on the way may have begun.
            default -> answered.status() >= SERVER_ERROR ? OrderOutcome.LOST : OrderOutcome.REFUSED;
        };
    }

    private static CompanionEvent lastOrder(CompanionEffect.QueryLastOrder ask, HttpResult result) {
        if (result instanceof HttpResult.Answered answered && answered.status() == OK) {
            try {
                JsonNode last = JsonBody.read(answered.body());
                OrderOutcome outcome = switch (last.path("state").asText()) {
                    case "done" -> OrderOutcome.DONE;
                    case "loading" -> OrderOutcome.STARTED;
                    default -> OrderOutcome.REFUSED;
                };
                return new CompanionEvent.OrderAnswered(
                        ask.name(), last.path("fencing").asLong(), outcome);
            } catch (IOException malformed) {
                return new CompanionEvent.OrderAnswered(ask.name(), 0, OrderOutcome.LOST);
            }
        }
        return new CompanionEvent.OrderAnswered(ask.name(), 0, OrderOutcome.LOST);
    }
}
