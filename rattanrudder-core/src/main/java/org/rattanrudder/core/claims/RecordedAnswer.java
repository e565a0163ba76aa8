package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;

/**
 * The recorded answer of a call, which is replayed to retries with the same key.
 *
 * @param status the HTTP status
 * @param headers the headers, including {@link #SOURCE_HEADER}
 * @param body the body; empty if it was too large to record, which the source header then says; shared, must not be
 *     modified
 */
public record RecordedAnswer(int status, List<Header> headers, byte[] body) {
    /** The header that distinguishes a recorded answer from the answer of a run. */
    public static final String SOURCE_HEADER = "Rattanrudder-Answer";
    /** The header's value on a recorded answer that is complete. */
    public static final String COMPLETE = "recorded";
    /** The header's value on an answer of which only status and headers were recorded. */
    public static final String STATUS_ONLY = "status-only";

    private static final byte[] NO_BODY = {};

    /** Copies the headers. */
    public RecordedAnswer {
        headers = List.copyOf(headers);
    }

    /** Returns the recorded form of an answer: a body above the limit is omitted, and the source header says so. */
    public static RecordedAnswer of(int status, List<Header> headers, byte[] body, int maxBodyBytes) {
        boolean complete = body.length <= maxBodyBytes;
        return new RecordedAnswer(
                status, withSource(headers, complete ? COMPLETE : STATUS_ONLY), complete ? body : NO_BODY);
    }

    /** Returns whether the body was recorded. */
    public boolean isComplete() {
        return headers.contains(new Header(SOURCE_HEADER, COMPLETE));
    }

    static RecordedAnswer of(LogEntry.KeyOutcome outcome) {
        return new RecordedAnswer(outcome.status(), outcome.headers(), outcome.body());
    }

    LogEntry.KeyOutcome toEntry(Digest key) {
        return new LogEntry.KeyOutcome(key, status, headers, body);
    }

    RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, withSource(headers, STATUS_ONLY), NO_BODY);
    }

    private static List<Header> withSource(List<Header> headers, String source) {
        List<Header> result = new ArrayList<>(headers.size() + 1);
        for (Header header : headers) {
            boolean bodyLength = header.name().equalsIgnoreCase("Content-Length");
            if (!bodyLength && !header.name().equalsIgnoreCase(SOURCE_HEADER)) {
                result.add(header);
            }
        }
        result.add(new Header(SOURCE_HEADER, source));
        return result;
    }
}
