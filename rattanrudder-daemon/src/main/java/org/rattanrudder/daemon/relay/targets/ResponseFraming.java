package org.rattanrudder.daemon.relay.targets;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.daemon.http.ContentTypes;

/** What the head of a response says of the end and the content of its body. */
public final class ResponseFraming {
    private ResponseFraming() {}

    /** Returns how a body that was read to its end has ended. */
    static ResponseEnd endOf(HttpResponse head, boolean headRequest) {
        return isDelimitedByConnection(head, headRequest)
                ? new ResponseEnd.ConnectionClosed()
                : new ResponseEnd.Declared();
    }

    /** Returns whether only the end of the connection ends the body. */
    private static boolean isDelimitedByConnection(HttpResponse head, boolean headRequest) {
        return !headRequest
                && mayHaveBody(head.status())
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head);
    }

    /** Returns whether a response with this status may have a body. */
    public static boolean mayHaveBody(HttpResponseStatus status) {
        return status.codeClass() != HttpStatusClass.INFORMATIONAL
                && status.code() != HttpResponseStatus.NO_CONTENT.code()
                && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /**
     * Returns whether the body is an event stream that can be read.
     *
     * @param streamRoute whether successful responses of the route are event streams unless they say otherwise
     */
    public static boolean isEventStream(HttpResponse head, boolean streamRoute) {
        if (!ContentTypes.isReadable(head.headers().get(HttpHeaderNames.CONTENT_ENCODING))) {
            return false;
        }
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return type == null
                ? streamRoute && head.status().codeClass() == HttpStatusClass.SUCCESS
                : ContentTypes.isEventStream(type);
    }
}
