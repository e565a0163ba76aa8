/** Bounds what one process holds of the bytes of others, and decides what is read, put off or rejected for it. */
package org.rattanrudder.core.memory;
