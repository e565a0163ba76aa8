package org.rattanrudder.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.entry.CallerRequest;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.daemon.http.BodyReader;
import org.rattanrudder.daemon.http.ErrorResponse;
import org.rattanrudder.daemon.http.ForwardedHeaders;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.document.Credential;

/** Takes callers' requests: chat completions and plain calls. */
final class CallerHandler implements HttpHandler {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String SERVICES_PREFIX = "/services/";

    private static final HttpString CLASS_HEADER = new HttpString("Rattanrudder-Class");
    private static final HttpString KEY_HEADER = new HttpString("Idempotency-Key");
    private static final int LONGEST_KEY = 255;
    private static final String BEARER = "Bearer ";

    private final long incarnation;
    private final Callers callers;
    private final PieceSizes pieceSizes;
    private final KnownCredentials credentials;
    private final BodyReader bodies;
    private final Consumer<EntryEvent> publish;
    private final EventLog log;

    CallerHandler(
            long incarnation,
            Callers callers,
            PieceSizes pieceSizes,
            KnownCredentials credentials,
            BodyReader bodies,
            Consumer<EntryEvent> publish,
            EventLog log) {
        this.incarnation = incarnation;
        this.callers = callers;
        this.pieceSizes = pieceSizes;
        this.credentials = credentials;
        this.bodies = bodies;
        this.publish = publish;
        this.log = log;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!credentials.mayBeACustomers(credential(exchange))) {
            refuse(exchange, ErrorKind.UNAUTHENTICATED, "no customer's credential was given");
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> bodies.read(exchange, body -> take(exchange, body)));
    }

    private void take(HttpServerExchange exchange, byte[] body) {
        Optional<String> key = first(exchange, KEY_HEADER);
        if (key.filter(value -> !isKey(value)).isPresent()) {
            refuse(exchange, ErrorKind.MALFORMED_REQUEST, "Idempotency-Key is not 1 to 255 visible characters");
            return;
        }
        if (exchange.getRequestPath().equals(CHAT_PATH)) {
            takeChat(exchange, body, key);
        } else {
            takePlain(exchange, body, key);
        }
    }

    private void takeChat(HttpServerExchange exchange, byte[] body, Optional<String> key) {
        if (!exchange.getRequestMethod().toString().equals("POST")) {
            refuse(exchange, ErrorKind.UNKNOWN_PATH, CHAT_PATH + " takes POST");
            return;
        }
        ChatRequest chat;
        try {
            chat = ChatRequest.read(body);
        } catch (ChatRequest.MalformedChatException malformed) {
            refuse(exchange, ErrorKind.MALFORMED_REQUEST, malformed.getMessage());
            return;
        } catch (JsonProcessingException malformed) {
            refuse(exchange, ErrorKind.MALFORMED_REQUEST, "the body is no JSON: " + where(malformed));
            return;
        } catch (IOException unreadable) {
            refuse(exchange, ErrorKind.MALFORMED_REQUEST, "the body can't be read");
            return;
        }
        Call call = new Call("POST", CHAT_PATH, ForwardedHeaders.forwardable(exchange.getRequestHeaders()), body);
        PromptShape shape = chat.shape(pieceSizes.of(chat.model()));
        CallerExchange.AnswerForm form =
                chat.stream() ? CallerExchange.AnswerForm.STREAMED : CallerExchange.AnswerForm.WHOLE;
        arrived(exchange, form, request(exchange, chat.model(), key, call, shape));
    }

    private void takePlain(HttpServerExchange exchange, byte[] body, Optional<String> key) {
        String rest = exchange.getRequestPath().substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        if (!exchange.getQueryString().isEmpty()) {
            path = path + "?" + exchange.getQueryString();
        }
        Call call = new Call(
                exchange.getRequestMethod().toString(),
                path,
                ForwardedHeaders.forwardable(exchange.getRequestHeaders()),
                body);
        arrived(exchange, CallerExchange.AnswerForm.PLAIN, request(exchange, service, key, call, PromptShape.NONE));
    }

    private void arrived(HttpServerExchange exchange, CallerExchange.AnswerForm form, CallerRequest request) {
        long sequence = callers.nextSequence();
        String requestId = new AttemptId(incarnation, sequence, 1).requestId();
        CallerExchange caller = new CallerExchange(exchange, sequence, requestId, form, callers);
        callers.add(sequence, caller);
        publish.accept(new EntryEvent.RequestArrived(sequence, request));
        caller.watch();
    }

    private static CallerRequest request(
            HttpServerExchange exchange, String service, Optional<String> key, Call call, PromptShape shape) {
        return new CallerRequest(service, credential(exchange), first(exchange, CLASS_HEADER), key, call, shape);
    }

    private static Optional<Digest> credential(HttpServerExchange exchange) {
        return first(exchange, Headers.AUTHORIZATION)
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> Credential.digest(value.substring(BEARER.length()).strip()));
    }

    private static Optional<String> first(HttpServerExchange exchange, HttpString header) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(header));
    }

    private static boolean isKey(String value) {
        return !value.isEmpty()
                && value.length() <= LONGEST_KEY
                && value.chars().allMatch(each -> each > ' ' && each < 127);
    }

    private static String where(JsonProcessingException malformed) {
        return malformed.getLocation() == null
                ? "cut off"
                : "line " + malformed.getLocation().getLineNr() + ", column "
                        + malformed.getLocation().getColumnNr();
    }

    private void refuse(HttpServerExchange exchange, ErrorKind kind, String detail) {
        log.info("request_refused", "kind", kind.wireName(), "detail", detail);
        ErrorResponse.send(exchange, new Refusal(kind, 0, detail), "");
    }
}
