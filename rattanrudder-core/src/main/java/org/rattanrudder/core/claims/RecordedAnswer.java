package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;

/**
 * The answer of a call as repeats of its key get it.
 *
 * @param status the HTTP status
 * @param headers the headers, among them {@link #SOURCE_HEADER}
 * @param body the body; empty if it was too large to be recorded, as the mark then says; shared, never written to
 */
public record RecordedAnswer(int status, List<Header> headers, byte[] body) {
    /** The header by which a caller tells a recorded answer from that of a run. */
    public static final String SOURCE_HEADER = "Rattanrudder-Answer";
    /** The mark of an answer that is the recorded one, whole. */
    public static final String COMPLETE = "recorded";
    /** The mark of an answer of which only the status and headers were recorded. */
    public static final String STATUS_ONLY = "status-only";

    private static final byte[] NO_BODY = {};

    /** Copies the headers. */
    public RecordedAnswer {
        headers = List.copyOf(headers);
    }

    /** Returns what is recorded of an answer: a body above the bound is left out, and the mark says so. */
    public static RecordedAnswer of(int status, List<Header> headers, byte[] body, int bodyBytesBound) {
        boolean whole = body.length <= bodyBytesBound;
        return new RecordedAnswer(status, marked(headers, whole ? COMPLETE : STATUS_ONLY), whole ? body : NO_BODY);
    }

    /** Returns whether the body is there. */
    public boolean isWhole() {
        return headers.contains(new Header(SOURCE_HEADER, COMPLETE));
    }

    static RecordedAnswer of(LogEntry.KeyOutcome outcome) {
        return new RecordedAnswer(outcome.status(), outcome.headers(), outcome.body());
    }

    LogEntry.KeyOutcome toEntry(Digest key) {
        return new LogEntry.KeyOutcome(key, status, headers, body);
    }

    RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, marked(headers, STATUS_ONLY), NO_BODY);
    }

    private static List<Header> marked(List<Header> headers, String mark) {
        List<Header> result = new ArrayList<>(headers.size() + 1);
        for (Header header : headers) {
            boolean bodyLength = header.name().equalsIgnoreCase("Content-Length");
            if (!bodyLength && !header.name().equalsIgnoreCase(SOURCE_HEADER)) {
                result.add(header);
            }
        }
        result.add(new Header(SOURCE_HEADER, mark));
        return result;
    }
}
