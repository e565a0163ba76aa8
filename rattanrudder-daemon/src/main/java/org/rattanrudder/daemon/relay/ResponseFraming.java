package org.rattanrudder.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.rattanrudder.core.gateway.ResponseEnd;

/** What the head of a response says of the end and the content of its body. */
final class ResponseFraming {
    private static final String EVENT_STREAM = "text/event-stream";

    private ResponseFraming() {}

    /** Returns how a body that was read to its end has ended. */
    static ResponseEnd endOf(HttpResponse head, boolean headRequest) {
        return isDelimitedByConnection(head, headRequest)
                ? new ResponseEnd.ConnectionClosed()
                : new ResponseEnd.Declared();
    }

    /** Returns whether only the end of the connection ends the body. */
    static boolean isDelimitedByConnection(HttpResponse head, boolean headRequest) {
        return !headRequest
                && mayHaveBody(head.status())
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head);
    }

    /** Returns whether a response with this status may have a body. */
    static boolean mayHaveBody(HttpResponseStatus status) {
        return status.codeClass() != HttpStatusClass.INFORMATIONAL
                && status.code() != HttpResponseStatus.NO_CONTENT.code()
                && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /**
     * Returns whether the body is an event stream that can be read.
     *
     * @param streamRoute whether successful responses of the route are event streams unless they say otherwise
     */
    static boolean isEventStream(HttpResponse head, boolean streamRoute) {
        String encoding = head.headers().get(HttpHeaderNames.CONTENT_ENCODING);
        if (encoding != null && !HttpHeaderValues.IDENTITY.contentEqualsIgnoreCase(encoding)) {
            return false;
        }
        CharSequence type = HttpUtil.getMimeType(head);
        if (type != null) {
            return EVENT_STREAM.equalsIgnoreCase(type.toString().strip());
        }
        return streamRoute && head.status().codeClass() == HttpStatusClass.SUCCESS;
    }
}
