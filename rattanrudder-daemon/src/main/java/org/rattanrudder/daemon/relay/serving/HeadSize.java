package org.rattanrudder.daemon.relay.serving;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/** Estimates how much memory the head of a request takes. */
final class HeadSize {
    /** What is kept for a request besides its headers and body. */
    private static final int REQUEST_BYTES = 2_048;

    /** The objects of one header. */
    private static final int HEADER_BYTES = 128;

    /** How many times its size a head may take that is still being parsed: all its headers may be short. */
    private static final int PARTIAL_RATIO = 32;

    private HeadSize() {}

    /** Returns the memory for a whole head and what is made of it, in bytes. */
    static long of(HttpRequest head) {
        long bytes = REQUEST_BYTES + head.uri().length();
        for (Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                        head.headers().iteratorCharSequence();
                headers.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Returns the most memory that a head takes of which so many bytes have arrived. */
    static long ofPartial(long receivedBytes) {
        return receivedBytes * PARTIAL_RATIO;
    }
}
