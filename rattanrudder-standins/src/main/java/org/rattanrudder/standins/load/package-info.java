/** Callers, load and experiments against running processes. */
package org.rattanrudder.standins.load;
