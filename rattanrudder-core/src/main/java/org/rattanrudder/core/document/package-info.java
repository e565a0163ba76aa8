/**
 * The content of one service's document as validated, immutable records.
 *
 * <p>Main class: {@link org.rattanrudder.core.document.ServiceDocument}.
 */
package org.rattanrudder.core.document;
