package org.rattanrudder.core.model;

/**
 * The final result of a request that got no complete answer, with a retry-after time.
 *
 * @param kind the kind of error, which determines status, run state and retry advice
 * @param retryAfterMillis after how many milliseconds to retry; 0 where a retry doesn't help
 * @param detail one human-readable line, without secrets or prompt text
 */
public record Refusal(ErrorKind kind, long retryAfterMillis, String detail) {}
