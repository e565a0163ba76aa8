package org.rattanrudder.daemon.relay.targets;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rattanrudder.core.fleet.DialTimeout;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.net.ClosedResponseGuard;
import org.rattanrudder.daemon.relay.net.InactivityTimer;
import org.rattanrudder.daemon.relay.net.RawByteCounter;
import org.rattanrudder.daemon.relay.port.RequestDialect;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Pools connections to targets, by incarnation, and opens new ones. */
public final class TargetPools {
    /** How long an idle connection is reused if its target announces no keep-alive timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 1_500;

    /**
     * Share of the announced keep-alive timeout: it starts at the target's side, and the target's clock may be ahead.
     */
    private static final double KEEP_ALIVE_SHARE = 0.5;

    /**
     * Requests that can't be repeated reuse a connection only this long after its last use: if the target closes it
     * while the request is on its way, the outcome is unknown. Targets announce 10 s; at 0.5 s four in ten requests
     * opened a new connection.
     */
    private static final long NOT_REPEATABLE_IDLE_MILLIS = 3_000;

    private final Bootstrap connector;
    private final EventLoop loop;
    private final ReadTurns turns;
    private final RequestDialect dialect;
    private final LongSupplier clock;
    private final ReachabilityListener reachability;
    private final DialTimeout dialTimeout = new DialTimeout();
    /** Keyed by the target, not by its ID: a restarted target has none of its previous connections. */
    private final Map<Target, Pool> pools = new HashMap<>();

    /** Receives the results of dials without a request. */
    interface ReachabilityListener {
        /** Returns whether a target is still in use. */
        boolean isKnown(Target target);

        /** Called when an unreachable target can be reached again. */
        void onReachable(Target target);
    }

    /** Creates empty pools; {@code queues} is told when a target can be reached again. */
    public TargetPools(RelayState state, QueueDispatcher queues) {
        connector = state.connector();
        loop = state.loop();
        turns = new ReadTurns(loop);
        dialect = state.platform().requests();
        clock = state::nowMillis;
        reachability = new ReachabilityHandler(state, queues);
    }

    /** The connections to one target. */
    private static final class Pool {
        private final Deque<TargetConnection> idle = new ArrayDeque<>();
        private boolean redialScheduled;

        /** Returns whether its target has closed all of its idle connections, as one does that ends. */
        boolean isClosedByTarget() {
            return !idle.isEmpty() && idle.stream().noneMatch(TargetConnection::isActive);
        }
    }

    /** A request that waits for a connection until it gets one or times out. */
    private static final class PendingAcquire {
        private Consumer<TargetConnection> then;

        PendingAcquire(Consumer<TargetConnection> then) {
            this.then = then;
        }

        boolean isPending() {
            return then != null;
        }

        void complete(TargetConnection connection) {
            Consumer<TargetConnection> waiting = then;
            then = null;
            waiting.accept(connection);
        }
    }

    /**
     * Acquires a connection on which no request with an ID was sent: an idle one at once, or a new one later.
     *
     * @param id the ID of the request
     * @param repeatable whether the request may be repeated if the connection turns out to be closed
     * @param then called once: with a connection, or with null if none could be opened
     */
    public void acquire(Target target, String id, boolean repeatable, Consumer<TargetConnection> then) {
        Pool pool = pools.computeIfAbsent(target, unseen -> new Pool());
        noticeClosed(target, pool);
        Optional<TargetConnection> idle = takeIdle(pool, id, repeatable);
        if (idle.isPresent()) {
            then.accept(idle.get());
            return;
        }
        PendingAcquire pending = new PendingAcquire(then);
        dial(target, pool, pending, found -> {});
        InactivityTimer.start(loop, () -> onDialTimeout(target, pending), dialTimeout.millis());
    }

    /** Takes the connection that was used last of those that fit; those that can't be reused are closed. */
    private Optional<TargetConnection> takeIdle(Pool pool, String id, boolean repeatable) {
        long nowMillis = clock.getAsLong();
        for (Iterator<TargetConnection> latest = pool.idle.descendingIterator(); latest.hasNext(); ) {
            TargetConnection connection = latest.next();
            if (!connection.isActive() || !isReusable(connection, repeatable, nowMillis)) {
                latest.remove();
                connection.abort();
            } else if (!connection.hasSent(id)) {
                latest.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** Has the target's software count as unknown if its process may have ended while no request was at it. */
    private void noticeClosed(Target target, Pool pool) {
        if (pool.isClosedByTarget()) {
            target.onMayHaveEnded(clock.getAsLong());
        }
    }

    /** Takes back a connection that was acquired and not used. */
    public void release(Target target, TargetConnection connection) {
        addIdle(pools.computeIfAbsent(target, unseen -> new Pool()), connection);
    }

    /** Dials a target without a request to check that it is reachable; the connection is kept for the next request. */
    public void verify(Target target) {
        if (target.isProbeUseful(clock.getAsLong())) {
            dialInBackground(target);
        }
    }

    /** Dials a target without a request, however recently it was dialed, and passes on the result. */
    public void probe(Target target, Consumer<DialResult> then) {
        Pool pool = pools.computeIfAbsent(target, unseen -> new Pool());
        noticeClosed(target, pool);
        dial(target, pool, new PendingAcquire(null), then);
    }

    private void dialInBackground(Target target) {
        probe(target, found -> {});
    }

    private static void onDialTimeout(Target target, PendingAcquire pending) {
        if (pending.isPending()) {
            target.onDialOverdue();
            pending.complete(null);
        }
    }

    private static boolean isReusable(TargetConnection connection, boolean repeatable, long nowMillis) {
        long kept = connection.keepAliveMillis() < 0
                ? DEFAULT_IDLE_TIMEOUT_MILLIS
                : (long) (connection.keepAliveMillis() * KEEP_ALIVE_SHARE);
        long limit = repeatable ? kept : Math.min(kept, NOT_REPEATABLE_IDLE_MILLIS);
        return nowMillis - connection.idleSince() < limit;
    }

    private void dial(Target target, Pool pool, PendingAcquire pending, Consumer<DialResult> then) {
        Address address = target.registration().address();
        long began = clock.getAsLong();
        target.onDialStarted(began);
        TargetConnection[] created = new TargetConnection[1];
        connector
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        created[0] =
                                new TargetConnection(channel, dialect, turns, connection -> addIdle(pool, connection));
                        channel.pipeline()
                                .addLast(
                                        new RawByteCounter(created[0]::onBytesRead),
                                        created[0].decoder(),
                                        new HttpRequestEncoder(),
                                        new ClosedResponseGuard(),
                                        created[0]);
                    }
                })
                .connect(new InetSocketAddress(address.host(), address.port()))
                .addListener((ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        dialTimeout.recordOpened(clock.getAsLong() - began);
                        onOpened(target, pool, pending, created[0]);
                    } else {
                        onOpenFailed(target, pool, pending);
                    }
                    then.accept(DialResult.of(opened));
                });
    }

    private void onOpened(Target target, Pool pool, PendingAcquire pending, TargetConnection connection) {
        boolean wasUnreachable = target.isUnreachable();
        target.onDialFinished(true, clock.getAsLong());
        if (pending.isPending()) {
            pending.complete(connection);
        } else {
            addIdle(pool, connection);
        }
        if (wasUnreachable) {
            reachability.onReachable(target);
        }
    }

    private void onOpenFailed(Target target, Pool pool, PendingAcquire pending) {
        target.onDialFinished(false, clock.getAsLong());
        if (!pool.redialScheduled) {
            pool.redialScheduled = true;
            loop.schedule(() -> redial(target, pool), target.redialDelayMillis(), TimeUnit.MILLISECONDS);
        }
        if (pending.isPending()) {
            pending.complete(null);
        }
    }

    private void redial(Target target, Pool pool) {
        pool.redialScheduled = false;
        if (target.isRedialDue() && reachability.isKnown(target)) {
            dialInBackground(target);
        }
    }

    private void addIdle(Pool pool, TargetConnection connection) {
        connection.markIdle(clock.getAsLong());
        pool.idle.addLast(connection);
    }

    /** Closes the connections of removed targets and those that were idle for too long. */
    public void sweep(Set<Target> known, long nowMillis) {
        for (Iterator<Map.Entry<Target, Pool>> entries = pools.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<Target, Pool> entry = entries.next();
            noticeClosed(entry.getKey(), entry.getValue());
            entry.getValue().idle.removeIf(connection -> closeIfExpired(connection, nowMillis));
            if (!known.contains(entry.getKey())) {
                entry.getValue().idle.forEach(TargetConnection::abort);
                entries.remove();
            }
        }
    }

    private static boolean closeIfExpired(TargetConnection connection, long nowMillis) {
        boolean old = !connection.isActive() || !isReusable(connection, true, nowMillis);
        if (old) {
            connection.abort();
        }
        return old;
    }
}
