package org.rattanrudder.daemon.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.document.ProcessSettings.ProcessLimits;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Reads request bodies and refuses requests that exceed the limits of the process. */
public final class BodyReader {
    private static final int BYTES_PER_HEADER_LINE = 4;

    /** The maximum size of a body without a Content-Length header. */
    private static final int MAX_UNDECLARED_BODY_BYTES = 4 << 20;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ProcessLimits limits;
    private final ByteBudget budget;
    private final BiConsumer<HttpServerExchange, Refusal> refusalListener;
    private final Set<PendingBody> pendingBodies = ConcurrentHashMap.newKeySet();

    /**
     * Creates a reader.
     *
     * @param limits the limits of the process
     * @param budget bounds the bodies of all requests in flight
     * @param refusalListener called for each refusal, for logging
     */
    public BodyReader(
            ProcessLimits limits, ByteBudget budget, BiConsumer<HttpServerExchange, Refusal> refusalListener) {
        this.limits = limits;
        this.budget = budget;
        this.refusalListener = refusalListener;
    }

    /** Reads the body and passes it to the consumer on the exchange's I/O thread, or answers with a refusal. */
    public void read(HttpServerExchange exchange, Consumer<byte[]> consumer) {
        if (headerBytes(exchange) > limits.headerBytes()) {
            refuse(exchange, ErrorKind.HEADERS_TOO_LARGE, "the headers are over " + limits.headerBytes() + " bytes");
            return;
        }
        if (exchange.getRequestContentLength() > limits.bodyBytes()) {
            refuseTooLarge(exchange);
            return;
        }
        if (!reserve(exchange)) {
            Refusal refusal = new Refusal(
                    ErrorKind.OVERLOADED,
                    RETRY_AFTER_MILLIS,
                    "too many bodies are under way in this process, or of this caller");
            refuse(exchange, refusal);
            return;
        }
        PendingBody pending = new PendingBody(exchange, consumer);
        pendingBodies.add(pending);
        exchange.addExchangeCompleteListener((completed, next) -> {
            pendingBodies.remove(pending);
            next.proceed();
        });
        // Without a timeout, a caller that sends byte by byte or stops would hold its connection and the memory
        // forever.
        pending.timer =
                exchange.getIoThread().executeAfter(pending::onTimeout, limits.bodyMillis(), TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver().receiveFullBytes(pending::onBody, pending::onFailure);
    }

    /** Refuses the requests whose bodies are still read. */
    public void refusePending(Refusal refusal) {
        pendingBodies.forEach(pending -> pending.exchange.getIoThread().execute(() -> pending.refuseUnread(refusal)));
    }

    /**
     * Reserves the body's bytes in the budget until the answer is complete; the body is kept that long for retries.
     * Without a budget, a few dozen callers with large bodies would exhaust the memory of the process, and all of its
     * callers would fail.
     */
    private boolean reserve(HttpServerExchange exchange) {
        long declaredBytes = exchange.getRequestContentLength();
        int maxUndeclaredBytes = Math.min(limits.bodyBytes(), MAX_UNDECLARED_BODY_BYTES);
        long bytes = declaredBytes >= 0 ? declaredBytes : isChunked(exchange) ? maxUndeclaredBytes : 0;
        if (declaredBytes < 0) {
            exchange.setMaxEntitySize(maxUndeclaredBytes);
        }
        Holding holding = budget.holding(
                bytes > ByteBudget.SMALL_REQUEST_BYTES ? ByteUse.UPLOAD : ByteUse.REQUEST,
                exchange.getSourceAddress().getAddress().getHostAddress());
        if (!holding.tryGrow(bytes)) {
            return false;
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            holding.close();
            next.proceed();
        });
        return true;
    }

    private static boolean isChunked(HttpServerExchange exchange) {
        return exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
    }

    private static int headerBytes(HttpServerExchange exchange) {
        int bytes =
                exchange.getRequestURI().length() + exchange.getQueryString().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length() + BYTES_PER_HEADER_LINE;
            }
        }
        return bytes;
    }

    private void refuseTooLarge(HttpServerExchange exchange) {
        refuse(exchange, ErrorKind.BODY_TOO_LARGE, "the body is over " + limits.bodyBytes() + " bytes");
    }

    /** Answers and closes the connection: to keep it alive, the rest of the request would have to be read. */
    private void refuse(HttpServerExchange exchange, ErrorKind kind, String detail) {
        refuse(exchange, new Refusal(kind, 0, detail));
    }

    private void refuse(HttpServerExchange exchange, Refusal refusal) {
        refusalListener.accept(exchange, refusal);
        exchange.setPersistent(false);
        ErrorResponse.send(exchange, refusal, "", new LingeringClose());
    }

    private final class PendingBody {
        private final HttpServerExchange exchange;
        private final Consumer<byte[]> consumer;
        private XnioExecutor.Key timer;
        private boolean completed;

        PendingBody(HttpServerExchange exchange, Consumer<byte[]> consumer) {
            this.exchange = exchange;
            this.consumer = consumer;
        }

        void onBody(HttpServerExchange received, byte[] body) {
            if (complete()) {
                // Undertow ends an exchange whose callback returns without a dispatch: if the body arrived in several
                // parts, the caller would get an empty 200 at once. After a dispatch, the consumer ends the exchange.
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> consumer.accept(body));
            }
        }

        void onFailure(HttpServerExchange received, IOException failure) {
            if (!complete()) {
                return;
            }
            if (failure.getClass().getSimpleName().startsWith("RequestTo")) {
                refuseTooLarge(exchange);
                return;
            }
            IoUtils.safeClose(exchange.getConnection());
        }

        void onTimeout() {
            if (complete()) {
                refuse(exchange, ErrorKind.REQUEST_TIMEOUT, "the body took over " + limits.bodyMillis() + " ms");
            }
        }

        void refuseUnread(Refusal refusal) {
            if (complete()) {
                refuse(exchange, refusal);
            }
        }

        private boolean complete() {
            if (completed) {
                return false;
            }
            completed = true;
            pendingBodies.remove(this);
            if (timer != null) {
                timer.remove();
            }
            return true;
        }
    }
}
