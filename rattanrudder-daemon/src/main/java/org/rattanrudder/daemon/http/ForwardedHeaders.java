package org.rattanrudder.daemon.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.rattanrudder.core.call.Header;

/** Selects the headers to forward: all but hop-by-hop headers and those of the system itself. */
public final class ForwardedHeaders {
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
            "authorization",
            "rattanrudder-class",
            "rattanrudder-request");

    private ForwardedHeaders() {}

    /** Returns the caller's headers to forward to the target; its credential is never among them. */
    public static List<Header> forwardable(HeaderMap headers) {
        List<Header> forwarded = new ArrayList<>();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString();
            if (isForwarded(name)) {
                values.forEach(value -> forwarded.add(new Header(name, value)));
            }
        }
        return forwarded;
    }

    /** Returns the target's headers to forward to the caller. */
    public static List<Header> forwardable(List<Header> headers) {
        return headers.stream().filter(header -> isForwarded(header.name())).toList();
    }

    /** Adds the headers to forward to an answer. */
    public static void addTo(HeaderMap answer, List<Header> headers) {
        for (Header header : headers) {
            if (isForwarded(header.name())) {
                answer.add(new HttpString(header.name()), header.value());
            }
        }
    }

    private static boolean isForwarded(String name) {
        return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
    }
}
