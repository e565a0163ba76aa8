package org.rattanrudder.wire.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.gateway.ResponseEnd;

/** Gathers a streamed answer up to a bound. */
final class WholeAnswer implements HttpAnswer {
    private final int limitBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<HttpResult> result = new CompletableFuture<>();
    private volatile HttpCall call;
    private volatile boolean over;
    private int status;
    private List<Header> headers = List.of();

    WholeAnswer(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    CompletableFuture<HttpResult> result() {
        return result;
    }

    /** Gives the call up if it isn't over. */
    void giveUp() {
        if (!over) {
            call.cancel();
        }
    }

    @Override
    public void started(HttpCall begun) {
        call = begun;
    }

    @Override
    public void head(int answeredStatus, List<Header> answeredHeaders) {
        status = answeredStatus;
        headers = answeredHeaders;
    }

    @Override
    public boolean part(byte[] bytes) {
        if (body.size() + bytes.length > limitBytes) {
            call.cancel();
            over = true;
            result.complete(new HttpResult.Failed(false, "the answer is over " + limitBytes + " bytes"));
            return false;
        }
        body.writeBytes(bytes);
        return true;
    }

    @Override
    public void end(ResponseEnd end) {
        over = true;
        result.complete(new HttpResult.Answered(status, headers, body.toByteArray()));
    }

    @Override
    public void failed(boolean nothingSent, String detail) {
        over = true;
        result.complete(new HttpResult.Failed(nothingSent, detail));
    }
}
