package org.rattanrudder.daemon.http;

import io.undertow.util.Headers;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Header;

/** Tells from a response's head what its body holds. */
public final class ContentTypes {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String NOT_ENCODED = "identity";

    private ContentTypes() {}

    /** Returns whether a content type names an event stream, whatever its parameters. */
    public static boolean isEventStream(String contentType) {
        int parameters = contentType.indexOf(';');
        String type = parameters < 0 ? contentType : contentType.substring(0, parameters);
        return type.strip().equalsIgnoreCase(EVENT_STREAM);
    }

    /** Returns whether a body with this content encoding can be read as it is; null if the head names none. */
    public static boolean isReadable(String contentEncoding) {
        return contentEncoding == null || contentEncoding.strip().equalsIgnoreCase(NOT_ENCODED);
    }

    /** Returns whether the headers say that the body is an event stream that can be read as it is. */
    public static boolean isEventStream(List<Header> headers) {
        Optional<String> encoding = first(headers, Headers.CONTENT_ENCODING_STRING);
        return isReadable(encoding.orElse(null))
                && first(headers, Headers.CONTENT_TYPE_STRING)
                        .filter(ContentTypes::isEventStream)
                        .isPresent();
    }

    private static Optional<String> first(List<Header> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }
}
