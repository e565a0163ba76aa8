package org.rattanrudder.daemon.relay.store;

import java.util.function.Supplier;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Looks whether the platform's store serves this relay again, while peers read for it. */
final class StoreProbe implements AutoCloseable {
    private static final long LOOK_MILLIS = 200;
    private static final long INTERVAL_MILLIS = 1_000;

    private final RelayState state;
    private final Supplier<LogPosition> desiredStatePosition;
    private final StepTimer timer;
    private final HttpCallClient client;

    /**
     * Creates a probe that makes no calls until {@link #start}.
     *
     * @param desiredStatePosition returns up to where the desired state has been read
     */
    StoreProbe(RelayState state, Supplier<LogPosition> desiredStatePosition) {
        this.state = state;
        this.desiredStatePosition = desiredStatePosition;
        timer = new StepTimer(state.loop());
        client = HttpCallClient.forLists(state.connector(), state.heldBytes(), state::store, state.storeCalls());
    }

    /** Starts to look whenever the store refuses this relay. */
    void start() {
        timer.every(this::look, LOOK_MILLIS);
    }

    private void look() {
        // A call in flight will tell, and a store that is slow gets no more calls for it.
        if (!state.storeRoute().isRefusedFor(INTERVAL_MILLIS)
                || state.storeCalls().count() > 0) {
            return;
        }
        client.call(
                state.platform()
                        .store()
                        .read(Topic.DESIRED_STATE, desiredStatePosition.get().offset()),
                TopicReader.TIMEOUT_MILLIS,
                result -> {
                    state.metrics().recordStoreCall("PROBE");
                    state.storeEra().accept(result);
                    if (result.isServed()) {
                        state.storeRoute().onServed();
                    } else {
                        state.storeRoute().onRefused(result.reason());
                    }
                });
    }

    @Override
    public void close() {
        timer.close();
        client.close();
    }
}
