/**
 * Connections to targets, and what targets report about themselves.
 *
 * <p>The package decides which connection a request gets and what a target's report changes; it may use {@code process}
 * and what is below. {@link org.rattanrudder.daemon.relay.targets.TargetPools} is the entry point.
 */
package org.rattanrudder.daemon.relay.targets;
