package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.StoreUpdate;

/** Builds and parses the calls to engines and context stores other than requests. */
public interface EngineDialect {
    /**
     * A status report of an engine.
     *
     * @param weights the versions of the models that it serves
     * @param busy whether an order is in progress
     * @param acceptedOrders how many orders it has accepted
     * @param inFlight requests that are running or queued
     */
    record EngineReport(List<WeightsVersion> weights, boolean busy, long acceptedOrders, int inFlight) {}

    /**
     * An order to load weights at once, without waiting for running requests to end.
     *
     * @param weights the model and its version
     * @param holder the holder of the lease
     * @param fencingToken the fencing token of the lease
     * @param expectedOrders how many orders the engine must have accepted before; otherwise it rejects the order
     * @param target the incarnation that the order is for
     */
    record LoadOrder(WeightsVersion weights, String holder, long fencingToken, long expectedOrders, String target) {}

    /** Returns the call that requests an engine's report. */
    PlatformCall report(Optional<String> target);

    /** Parses the response; empty if it is invalid. */
    Optional<EngineReport> readReport(int status, byte[] body);

    /** Returns the call that sends an order. */
    PlatformCall order(LoadOrder order);

    /** Returns whether an order was accepted or was already carried out. */
    boolean isOrderAccepted(int status);

    /** Returns the long-polling call for changes of a context store's parts. */
    PlatformCall pollChanges(long since, long waitMillis);

    /** Parses the response; empty if it is invalid. */
    Optional<StoreUpdate> readChanges(int status, byte[] body);

    /** Returns the call that lists all parts in a context store. */
    PlatformCall listContents();

    /** Parses the response; empty if it is invalid. */
    Optional<StoreUpdate> readContents(int status, byte[] body);

    /** Returns the call that evicts parts from the given incarnation of a context store. */
    PlatformCall evict(List<PartKey> parts, long incarnation);
}
