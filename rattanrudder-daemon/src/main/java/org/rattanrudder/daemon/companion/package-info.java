/** A companion's adapters: links from entries, calls to targets, cache blocks, orders, and what carries out effects. */
package org.rattanrudder.daemon.companion;
