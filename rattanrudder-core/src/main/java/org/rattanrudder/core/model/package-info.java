/**
 * Value types that all other packages share: names, identifiers, digests, addresses and error kinds.
 *
 * <p>There is no main class; {@link org.rattanrudder.core.model.ErrorKind} lists every way in which a request can fail.
 */
package org.rattanrudder.core.model;
