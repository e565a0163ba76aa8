/** Detects requests that crash the targets which run them, and decides for how long they aren't sent. */
package org.rattanrudder.core.quarantine;
