package org.rattanrudder.daemon.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends.
 *
 * <p>The JDK's log manager removes all handlers as soon as a shutdown starts, so that nothing would be logged while the
 * process drains, which may take half a minute.
 */
public final class LastingLogManager extends LogManager {
    @Override
    public void reset() {
        // Called by the JDK's shutdown hook. Logging sets up the handlers itself.
    }
}
