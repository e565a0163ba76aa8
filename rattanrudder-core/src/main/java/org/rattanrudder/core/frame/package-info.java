/**
 * The messages exchanged between an entry and a companion.
 *
 * <p>Main class: {@link org.rattanrudder.core.frame.Frame}.
 */
package org.rattanrudder.core.frame;
