package org.rattanrudder.daemon.relay.streams;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.continuation.OriginExchange;
import org.rattanrudder.core.continuation.OriginExchange.Finding;
import org.rattanrudder.core.continuation.OriginMessage;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Runs the exchange of streams' origins with peers on the event loop. */
public final class StreamOriginExchange {
    /** How long beginnings of streams are gathered for one message. */
    private static final long BATCH_MILLIS = 5;

    private final RelayState state;
    private final OriginExchange exchange;
    private OriginExchange.Sender sender = (message, relays) -> {};

    /** Creates an exchange that knows no stream; {@code self} is the name of this relay. */
    public StreamOriginExchange(RelayState state, String self) {
        this.state = state;
        exchange = new OriginExchange(
                self,
                OriginExchange.HOLDERS,
                OriginExchange.HOLDERS,
                (message, relays) -> sender.send(message, relays));
        state.metrics()
                .gauge(
                        "rattanrudder_relay_stream_origins",
                        "Streams whose software is known, should their callers resume them",
                        exchange::size);
    }

    /** Sets what sends a message to relays. */
    public void setSender(OriginExchange.Sender newSender) {
        sender = newSender;
    }

    /** Sets the relays that are heard and those that are registered, each with this one. */
    public void updateRelays(Collection<String> live, Collection<String> registered) {
        exchange.updateRelays(live, registered);
    }

    /**
     * Records which software sent the first event of a stream, and tells peers.
     *
     * @param keepMillis how long the caller may come back
     */
    public void onBegun(StreamKey key, Optional<StreamOrigin> origin, long keepMillis) {
        if (exchange.onBegun(key, origin, keepMillis, state.nowMillis())) {
            state.loop().schedule(exchange::tell, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Finds out which software began a stream; asks peers if this relay doesn't know.
     *
     * @param timeoutMillis how long to wait for peers, in ms
     * @param then called once, at once if no peer has to be asked
     */
    public void find(StreamKey key, long timeoutMillis, Consumer<Finding> then) {
        exchange.find(key, state.nowMillis(), then).ifPresent(search -> {
            state.loop().schedule(() -> exchange.askAgain(search), timeoutMillis / 2, TimeUnit.MILLISECONDS);
            state.loop().schedule(() -> exchange.giveUp(search), timeoutMillis, TimeUnit.MILLISECONDS);
        });
    }

    /** Handles a message of a peer. */
    public void onMessage(Set<String> relays, OriginMessage message) {
        exchange.onMessage(relays, message, state.nowMillis());
    }
}
