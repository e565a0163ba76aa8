/**
 * Runs the call of each idempotency key at most once, as decided by the order of claims in the log.
 *
 * <p>Main class: {@link org.rattanrudder.core.claims.KeyClaims}.
 */
package org.rattanrudder.core.claims;
