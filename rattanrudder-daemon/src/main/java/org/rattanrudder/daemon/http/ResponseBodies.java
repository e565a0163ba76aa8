package org.rattanrudder.daemon.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** What the head of a response says of whether a body follows, and what ends it. */
public final class ResponseBodies {
    private ResponseBodies() {}

    /** Returns whether only the end of the connection ends the body. */
    public static boolean isDelimitedByConnection(HttpResponse head, boolean headRequest) {
        return !headRequest
                && mayFollow(head.status())
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head);
    }

    /** Returns whether a response with this status may have a body. */
    public static boolean mayFollow(HttpResponseStatus status) {
        return status.codeClass() != HttpStatusClass.INFORMATIONAL
                && status.code() != HttpResponseStatus.NO_CONTENT.code()
                && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
    }
}
