/**
 * The context cache: which blocks of a prompt to fetch, recompute, export or evict.
 *
 * <p>Main class: {@link org.rattanrudder.core.cache.BlockMover}.
 */
package org.rattanrudder.core.cache;
