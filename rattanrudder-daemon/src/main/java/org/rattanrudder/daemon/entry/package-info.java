/** An entry's adapters: callers and operators over HTTP, links to companions, and what carries out the effects. */
package org.rattanrudder.daemon.entry;
