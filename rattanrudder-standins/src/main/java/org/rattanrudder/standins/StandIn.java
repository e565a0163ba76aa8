package org.rattanrudder.standins;

import java.io.Closeable;
import org.rattanrudder.core.model.Address;

/** A running stand-in. */
public interface StandIn extends Closeable {
    /** Returns where it listens. */
    Address address();

    /** Stops it at once; open connections break. */
    @Override
    void close();
}
