/**
 * The HTTP calls that pass through the system, and what they use.
 *
 * <p>Main class: {@link org.rattanrudder.core.call.Call}, the request.
 */
package org.rattanrudder.core.call;
