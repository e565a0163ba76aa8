package org.rattanrudder.daemon.loop;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jboss.logging.Logger;

/** Closes resources in the reverse order of their registration, also if closing one of them fails. */
public final class Closer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Closer.class);

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /** Registers a resource and returns it. */
    public <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    /** Closes all registered resources, the last one first. A second call does nothing. */
    @Override
    public void close() {
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception failed) {
                LOG.warnf("event=close_failed cause=%s", failed.getClass().getSimpleName());
            }
        }
    }
}
