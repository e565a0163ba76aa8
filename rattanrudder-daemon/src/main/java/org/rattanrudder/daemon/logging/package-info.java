/** Event logging: one rate-limited line of key=value pairs per event. */
package org.rattanrudder.daemon.logging;
