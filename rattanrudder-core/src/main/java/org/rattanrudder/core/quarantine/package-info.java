/** Requests that end the targets which run them: how they are known again. Pure decisions. */
package org.rattanrudder.core.quarantine;
