/**
 * The state machine of an entry: admission of requests, their dispatch to targets and the answers to callers.
 *
 * <p>Front class: {@link org.rattanrudder.core.entry.EntryMachine}.
 */
package org.rattanrudder.core.entry;
