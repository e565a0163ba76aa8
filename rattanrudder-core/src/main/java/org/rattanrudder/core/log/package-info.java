/**
 * The entries of the platform's append-only log, and how a process writes and reads them.
 *
 * <p>Main class: {@link org.rattanrudder.core.log.LogWriter}; it writes entries of type {@link
 * org.rattanrudder.core.log.LogEntry}.
 */
package org.rattanrudder.core.log;
