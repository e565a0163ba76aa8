/**
 * HTTP calls on Undertow's client.
 *
 * <p>{@link org.rattanrudder.wire.http.HttpCaller} makes each call exactly once and says how far it got. Small answers
 * are fetched whole; long ones are streamed to an {@link org.rattanrudder.wire.http.HttpAnswer}, which decides how fast
 * they are read:
 *
 * <pre>{@code
 * try (HttpCaller caller = HttpCaller.create(1)) {
 *     caller.fetch(Address.parse("127.0.0.1:9000"), HttpRequest.get("/load"))
 *             .thenAccept(result -> { ... });
 * }
 * }</pre>
 */
package org.rattanrudder.wire.http;
