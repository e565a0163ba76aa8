package org.rattanrudder.wire.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Address;

/** Keeps idle connections for a short while, a few for each address. */
final class ConnectionPool {
    private static final int IDLE_PER_ADDRESS = 4;
    private static final long IDLE_MILLIS = 10_000;

    private final Map<Address, Deque<PooledConnection>> idle = new HashMap<>();
    private boolean closed;

    /** Returns an idle connection that is open as far as is known, or null. */
    synchronized PooledConnection take(Address address) {
        Deque<PooledConnection> connections = idle.get(address);
        while (connections != null && !connections.isEmpty()) {
            PooledConnection pooled = connections.pollLast();
            pooled.stopExpiry();
            if (pooled.isOpen()) {
                return pooled;
            }
        }
        return null;
    }

    /** Keeps a connection whose last answer was read whole. */
    void keep(Address address, PooledConnection pooled) {
        pooled.whenClosed(() -> remove(address, pooled));
        if (!pooled.isOpen() || !add(address, pooled)) {
            pooled.close();
        }
    }

    private synchronized boolean add(Address address, PooledConnection pooled) {
        Deque<PooledConnection> connections = idle.computeIfAbsent(address, unseen -> new ArrayDeque<>());
        if (closed || connections.size() >= IDLE_PER_ADDRESS) {
            return false;
        }
        connections.addLast(pooled);
        pooled.expireWith(pooled.connection()
                .getIoThread()
                .executeAfter(() -> expire(address, pooled), IDLE_MILLIS, TimeUnit.MILLISECONDS));
        return true;
    }

    private synchronized boolean remove(Address address, PooledConnection pooled) {
        Deque<PooledConnection> connections = idle.get(address);
        if (connections == null || !connections.remove(pooled)) {
            return false;
        }
        pooled.stopExpiry();
        if (connections.isEmpty()) {
            idle.remove(address);
        }
        return true;
    }

    private void expire(Address address, PooledConnection pooled) {
        if (remove(address, pooled)) {
            pooled.close();
        }
    }

    void close() {
        // Closing a connection calls back into this pool, so it is done on a copy, after the pool let go of them.
        letGo().forEach(PooledConnection::close);
    }

    private synchronized List<PooledConnection> letGo() {
        closed = true;
        List<PooledConnection> connections = new ArrayList<>();
        idle.values().forEach(connections::addAll);
        idle.clear();
        return connections;
    }
}
