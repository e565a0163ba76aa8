/** Requests that end the targets which run them: how they are known again, and for how long none is sent on. */
package org.rattanrudder.core.quarantine;
