package org.rattanrudder.daemon.relay.store;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ClockSource;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.relay.net.RelayChannels;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.process.RelayMetrics;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.document.RelaySettings;
import org.rattanrudder.document.RelaySettings.Bounds;

/** The state of a relay that speaks to a store alone. */
final class TestRelayState {
    private TestRelayState() {}

    /** Answers the calls of an object's methods, by their names and arguments. */
    interface Calls {
        Object answer(String name, Object[] arguments);
    }

    /** Returns the state of a relay whose store understands a dialect. */
    static RelayState of(Address store, StoreDialect dialect, EventLoopGroup group, EventLoop loop) {
        return new RelayState(
                settings(store),
                answering(PlatformAdapter.class, Map.of("store", dialect, "callersCompete", false)),
                new ProcessClock(ClockSource.system()),
                loop,
                RelayChannels.connector(group),
                new EventLog(Logger.getLogger(TestRelayState.class), new MonotonicClock()),
                new RelayMetrics(),
                RandomGenerator.of("L64X128MixRandom"));
    }

    /** Returns an object each of whose methods returns the same object always, or null. */
    static <T> T answering(Class<T> type, Map<String, ?> answers) {
        return answering(type, (name, arguments) -> answers.get(name));
    }

    /** Returns an object whose methods are answered by a function. */
    static <T> T answering(Class<T> type, Calls calls) {
        return type.cast(Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (proxy, called, arguments) -> calls.answer(called.getName(), arguments)));
    }

    private static RelaySettings settings(Address store) {
        return new RelaySettings(
                "relay-1",
                "north",
                store,
                store,
                store,
                store,
                store,
                new Bounds(0.2, 64, 10_000, 300, 15_000, 2_000, 2_000, 8_000, 1.5, 5),
                Map.of(),
                false,
                Set.of());
    }
}
