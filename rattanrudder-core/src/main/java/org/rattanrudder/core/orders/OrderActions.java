package org.rattanrudder.core.orders;

import org.rattanrudder.core.log.LogEntry;

/** Actions that {@link TargetOrders} requests from its companion. */
public interface OrderActions {
    /** Appends an entry to the orders stream. Returns false, and appends nothing, while the log can't be written. */
    boolean append(LogEntry entry);

    /** Sends an order to the target. Its result follows later, as {@code LOST} if there is no answer. */
    void sendOrder(long fencing, DesiredState state);

    /**
     * Queries the state of the target's last accepted order. The result follows later, as {@code LOST} if there is no
     * answer.
     */
    void queryLastOrder();

    /** Writes an event to the operators' log: a fixed event name and alternating keys and values. */
    void logEvent(String event, String... fields);
}
