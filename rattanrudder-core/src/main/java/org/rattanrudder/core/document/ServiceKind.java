package org.rattanrudder.core.document;

/** The kind of calls that a service handles. */
public enum ServiceKind {
    /** Chat completions, served by model engines. */
    PROMPT,
    /** Any HTTP calls, forwarded to plain services. */
    PLAIN
}
