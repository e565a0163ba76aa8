package org.rattanrudder.core.memory;

import java.util.Locale;

/** What a process holds bytes of others for. Each use has a part of the budget that no other use can take from it. */
public enum ByteUse {
    /** Heads and small bodies of requests, and requests that wait behind another one on their connection. */
    REQUEST(0.15, 0.35),
    /** Large bodies of requests. */
    UPLOAD(0.25, 0.60),
    /** Responses that callers haven't received yet. */
    RESPONSE(0.15, 0.35),
    /** Responses to the process's own calls: records, lists and reports. */
    OWN_CALL(0.10, 0.45);

    private final double guaranteedShare;
    private final double largestShare;

    ByteUse(double guaranteedShare, double largestShare) {
        this.guaranteedShare = guaranteedShare;
        this.largestShare = largestShare;
    }

    /** Returns the share of the budget that other uses leave to it. */
    double guaranteedShare() {
        return guaranteedShare;
    }

    /** Returns the largest share of the budget that it may have. */
    double largestShare() {
        return largestShare;
    }

    /** Returns the name used in logs and metrics, such as {@code upload}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
