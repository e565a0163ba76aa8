package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.StoreUpdate;

/** How engines and context stores are spoken to, beside requests. */
public interface EngineDialect {
    /**
     * What an engine reports of itself.
     *
     * @param weights the versions of the models that it serves
     * @param busy whether an order is being carried out
     * @param acceptedOrders how many orders it has taken
     * @param inFlight requests that run or wait
     */
    record EngineReport(List<WeightsVersion> weights, boolean busy, long acceptedOrders, int inFlight) {}

    /**
     * An order to load weights at once; runs go on under them.
     *
     * @param weights the model and its version
     * @param holder who gives it
     * @param fencingToken its fencing token
     * @param expectedOrders how many orders the engine must have taken before; anything else voids it
     * @param target the incarnation that is meant
     */
    record LoadOrder(WeightsVersion weights, String holder, long fencingToken, long expectedOrders, String target) {}

    /** Returns the call that asks an engine for its state. */
    PlatformCall report(Optional<String> target);

    /** Reads the answer; empty if it is none. */
    Optional<EngineReport> readReport(int status, byte[] body);

    /** Returns the call that gives an order. */
    PlatformCall order(LoadOrder order);

    /** Returns whether an order was taken or holds already. */
    boolean isOrderAccepted(int status);

    /** Returns the call that waits for changes of what a context store holds. */
    PlatformCall pollChanges(long since, long waitMillis);

    /** Reads the answer; empty if it is none. */
    Optional<StoreUpdate> readChanges(int status, byte[] body);

    /** Returns the call for all that a context store holds. */
    PlatformCall listContents();

    /** Reads the answer; empty if it is none. */
    Optional<StoreUpdate> readContents(int status, byte[] body);

    /** Returns the call that frees parts of a context store in the incarnation that is meant. */
    PlatformCall evict(List<PartKey> parts, long incarnation);
}
