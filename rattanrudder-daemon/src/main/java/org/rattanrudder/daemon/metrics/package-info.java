/** The metrics of entries and companions; docs/METRICS.md lists them. */
package org.rattanrudder.daemon.metrics;
