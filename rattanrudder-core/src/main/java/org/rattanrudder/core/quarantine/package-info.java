/** Detects what requests have in common that crash the targets which run them, and for how long they aren't sent. */
package org.rattanrudder.core.quarantine;
