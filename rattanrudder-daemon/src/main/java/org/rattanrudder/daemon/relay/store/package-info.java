/**
 * The topics of the platform's store, and the context stores.
 *
 * <p>The package decides when a store is read and which of its records apply; it may use {@code targets} and what is
 * below. {@link org.rattanrudder.daemon.relay.store.TopicFollower} is the entry point.
 */
package org.rattanrudder.daemon.relay.store;
