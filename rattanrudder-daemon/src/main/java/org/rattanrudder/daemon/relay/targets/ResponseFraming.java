package org.rattanrudder.daemon.relay.targets;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.daemon.http.ContentTypes;
import org.rattanrudder.daemon.http.ResponseBodies;

/** What the head of a response says of the end and the content of its body. */
public final class ResponseFraming {
    private ResponseFraming() {}

    /** Returns how a body that was read to its end has ended. */
    static ResponseEnd endOf(HttpResponse head, boolean headRequest) {
        return ResponseBodies.isDelimitedByConnection(head, headRequest)
                ? new ResponseEnd.ConnectionClosed()
                : new ResponseEnd.Declared();
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
