/** HTTP handlers shared by the servers of entries and companions: limits, errors, health checks and metrics. */
package org.rattanrudder.daemon.http;
