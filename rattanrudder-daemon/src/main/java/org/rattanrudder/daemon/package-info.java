/** The daemon {@code rattanrudderd}: runs as an entry, companion or relay until it is stopped. */
package org.rattanrudder.daemon;
