package org.rattanrudder.daemon.loop;

import org.rattanrudder.core.model.Address;

/** A running entry, companion or relay. */
public interface RunningProcess extends AutoCloseable {
    /** Returns the address of its HTTP server. */
    Address http();

    /**
     * Stops accepting new work and waits until running work has finished.
     *
     * @return whether everything finished within the time allowed by the settings
     */
    boolean drain() throws InterruptedException;

    @Override
    void close();
}
