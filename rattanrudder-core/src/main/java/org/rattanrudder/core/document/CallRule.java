package org.rattanrudder.core.document;

/**
 * Defines whether calls with a method and a path prefix may be retried.
 *
 * @param method the HTTP method, or {@code *} for any
 * @param pathPrefix the start of the path within the service, such as {@code /entries}
 * @param idempotent whether a retry is safe
 */
public record CallRule(String method, String pathPrefix, boolean idempotent) {
    /** Returns whether the rule applies to a call. */
    public boolean matches(String callMethod, String path) {
        return (method.equals("*") || method.equals(callMethod)) && path.startsWith(pathPrefix);
    }
}
