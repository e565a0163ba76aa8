package org.rattanrudder.daemon.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rattanrudder.core.burn.BurnSnapshot;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.entry.OperatorCall;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.daemon.http.BodyReader;
import org.rattanrudder.daemon.http.ErrorResponse;
import org.rattanrudder.document.Credential;
import org.rattanrudder.operator.ExplainRequest;
import org.rattanrudder.operator.OperatorJson;
import org.rattanrudder.operator.PublishRequest;

/** Takes what operators ask, under {@code /operator/}. */
final class OperatorHandler implements HttpHandler {
    static final String PREFIX = "/operator/";

    private static final String SERVICES = "services/";
    private static final String BEARER = "Bearer ";

    private final Digest credential;
    private final PieceSizes pieceSizes;
    private final BodyReader bodies;
    private final Consumer<EntryEvent> publish;
    private final Supplier<BurnSnapshot> burn;
    private final Map<Long, HttpServerExchange> waiting = new ConcurrentHashMap<>();
    private final AtomicLong lastHandle = new AtomicLong();

    OperatorHandler(
            Digest credential,
            PieceSizes pieceSizes,
            BodyReader bodies,
            Consumer<EntryEvent> publish,
            Supplier<BurnSnapshot> burn) {
        this.credential = credential;
        this.pieceSizes = pieceSizes;
        this.bodies = bodies;
        this.publish = publish;
        this.burn = burn;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> bodies.read(exchange, body -> take(exchange, body)));
    }

    /** Answers an operator; called by the handler thread. */
    void reply(long handle, OperatorReply reply) {
        HttpServerExchange exchange = waiting.remove(handle);
        if (exchange == null) {
            return;
        }
        exchange.getIoThread().execute(() -> {
            if (reply instanceof OperatorReply.Refused refused) {
                ErrorResponse.send(exchange, refused.refusal(), "");
            } else {
                sendJson(exchange, reply);
            }
        });
    }

    private void take(HttpServerExchange exchange, byte[] body) {
        if (!isOperator(exchange)) {
            refuse(exchange, ErrorKind.UNAUTHENTICATED, "the operators' credential is needed");
            return;
        }
        String path = exchange.getRequestPath().substring(PREFIX.length());
        boolean reads = exchange.getRequestMethod().toString().equals("GET");
        if (reads && path.equals("burn")) {
            sendJson(exchange, burn.get());
            return;
        }
        try {
            Optional<OperatorCall> call = call(path, reads, new String(body, StandardCharsets.UTF_8));
            if (call.isEmpty()) {
                refuse(exchange, ErrorKind.UNKNOWN_PATH, "no such operator call");
                return;
            }
            ask(exchange, call.get());
        } catch (IOException | IllegalArgumentException malformed) {
            refuse(exchange, ErrorKind.MALFORMED_REQUEST, firstLine(malformed));
        }
    }

    private Optional<OperatorCall> call(String path, boolean reads, String body) throws IOException {
        if (path.startsWith(SERVICES)) {
            ServiceName service = new ServiceName(path.substring(SERVICES.length()));
            if (reads) {
                return Optional.of(new OperatorCall.Show(service));
            }
            PublishRequest edit = OperatorJson.read(body, PublishRequest.class);
            if (edit.text() == null) {
                throw new IOException("\"text\" is missing");
            }
            return Optional.of(new OperatorCall.Publish(service, edit.baseRevision(), edit.text()));
        }
        if (reads && path.equals("status")) {
            return Optional.of(new OperatorCall.Status());
        }
        if (!reads && path.equals("explain")) {
            return Optional.of(explain(OperatorJson.read(body, ExplainRequest.class)));
        }
        return Optional.empty();
    }

    private OperatorCall explain(ExplainRequest request) throws IOException {
        if (request.service() == null || request.customer() == null) {
            throw new IOException("\"service\" and \"customer\" are needed");
        }
        PromptDigester prompt = new PromptDigester(pieceSizes.of(request.service()));
        prompt.add(request.prompt() == null ? "" : request.prompt());
        return new OperatorCall.Explain(
                new ServiceName(request.service()),
                new CustomerName(request.customer()),
                request.requestClass() == null ? "" : request.requestClass(),
                prompt.shape());
    }

    private void ask(HttpServerExchange exchange, OperatorCall call) {
        long handle = lastHandle.incrementAndGet();
        waiting.put(handle, exchange);
        exchange.addExchangeCompleteListener((ended, next) -> {
            waiting.remove(handle);
            next.proceed();
        });
        publish.accept(new EntryEvent.OperatorCalled(handle, call));
    }

    private boolean isOperator(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return given != null
                && given.startsWith(BEARER)
                && Credential.digest(given.substring(BEARER.length()).strip()).equals(credential);
    }

    private static void sendJson(HttpServerExchange exchange, Object value) {
        exchange.setStatusCode(StatusCodes.OK);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(OperatorJson.write(value), StandardCharsets.UTF_8);
    }

    private static void refuse(HttpServerExchange exchange, ErrorKind kind, String detail) {
        ErrorResponse.send(exchange, new Refusal(kind, 0, detail), "");
    }

    private static String firstLine(Exception malformed) {
        String message = malformed.getMessage() == null ? "malformed" : malformed.getMessage();
        return message.lines().findFirst().orElse("malformed");
    }
}
