package org.rattanrudder.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rattanrudder.core.fleet.DialTimeout;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.RequestDialect;

/** Keeps connections to targets, by incarnation, and opens new ones. */
final class TargetPools {
    /**
     * How long a connection may take to open, in ms. A request waits for it only as long as {@link DialTimeout} says;
     * one that opens later is kept for the next request.
     */
    static final int CONNECT_MILLIS = (int) DialTimeout.MAX_MILLIS;

    /** How long an idle connection is used again if its target doesn't say how long it keeps it, in ms. */
    private static final long IDLE_MILLIS = 1_500;

    /** The part of the time that a target names: it counts from its side, and its clock may be ahead. */
    private static final double IDLE_SHARE = 0.5;

    /**
     * Requests that can't be repeated use a connection only this long after its last use, in ms: a close that crosses
     * with the request leaves its outcome unknown. Targets name 10 s; at 0.5 s four in ten requests opened a new one.
     */
    private static final long IDLE_ONCE_MILLIS = 3_000;

    private final Bootstrap connector;
    private final EventLoop loop;
    private final RequestDialect dialect;
    private final LongSupplier clock;
    private final ReachabilityListener reached;
    private final DialTimeout patience = new DialTimeout();
    /** By the target, not its id: one that has started again has none of the connections of before. */
    private final Map<Target, Pool> pools = new HashMap<>();

    /** Told of what dials without a request found. */
    interface ReachabilityListener {
        /** Returns whether a target still matters. */
        boolean isKnown(Target target);

        /** A target that couldn't be reached can be reached again. */
        void onReachable(Target target);
    }

    /**
     * Makes empty pools.
     *
     * @param loop times the dials
     * @param clock milliseconds of a steady clock
     */
    TargetPools(
            Bootstrap connector,
            EventLoop loop,
            RequestDialect dialect,
            LongSupplier clock,
            ReachabilityListener reached) {
        this.connector = connector;
        this.loop = loop;
        this.dialect = dialect;
        this.clock = clock;
        this.reached = reached;
    }

    /** The connections to one target. */
    private static final class Pool {
        private final Deque<TargetConnection> idle = new ArrayDeque<>();
        private boolean willDial;
    }

    /** A request that waits for a connection, until it has one or waits no more. */
    private static final class Claim {
        private Consumer<TargetConnection> then;

        Claim(Consumer<TargetConnection> then) {
            this.then = then;
        }

        boolean isOpen() {
            return then != null;
        }

        void settle(TargetConnection connection) {
            Consumer<TargetConnection> waiting = then;
            then = null;
            waiting.accept(connection);
        }
    }

    /**
     * Gets a connection: an idle one at once, or a new one later.
     *
     * @param repeatable whether the request may be repeated if the connection turns out to be closed
     * @param then called once: with a connection, or with null if none could be had
     */
    void acquire(Target target, boolean repeatable, Consumer<TargetConnection> then) {
        long nowMillis = clock.getAsLong();
        Pool pool = pools.computeIfAbsent(target, unseen -> new Pool());
        while (!pool.idle.isEmpty()) {
            TargetConnection connection = pool.idle.pollLast();
            if (connection.isActive() && isYoung(connection, repeatable, nowMillis)) {
                then.accept(connection);
                return;
            }
            connection.abort();
        }
        Claim claim = new Claim(then);
        dial(target, pool, claim, found -> {});
        InactivityTimer.start(loop, () -> giveUp(target, claim), patience.millis());
    }

    /** Dials a target without a request, to see whether it is there; what opens is kept for the next request. */
    void verify(Target target) {
        if (target.isProbeUseful(clock.getAsLong())) {
            dialAlone(target);
        }
    }

    /** Dials a target without a request, however lately it was dialled, and tells what was found. */
    void probe(Target target, Consumer<Dial> then) {
        dial(target, pools.computeIfAbsent(target, unseen -> new Pool()), new Claim(null), then);
    }

    private void dialAlone(Target target) {
        probe(target, found -> {});
    }

    private static void giveUp(Target target, Claim claim) {
        if (claim.isOpen()) {
            target.onDialOverdue();
            claim.settle(null);
        }
    }

    private static boolean isYoung(TargetConnection connection, boolean repeatable, long nowMillis) {
        long kept = connection.keepAliveMillis() < 0 ? IDLE_MILLIS : (long) (connection.keepAliveMillis() * IDLE_SHARE);
        long limit = repeatable ? kept : Math.min(kept, IDLE_ONCE_MILLIS);
        return nowMillis - connection.idleSince() < limit;
    }

    private void dial(Target target, Pool pool, Claim claim, Consumer<Dial> then) {
        Address address = target.registration().address();
        long began = clock.getAsLong();
        target.onDialStarted(began);
        TargetConnection[] made = new TargetConnection[1];
        connector
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        made[0] = new TargetConnection(channel, dialect, connection -> keep(pool, connection));
                        channel.pipeline().addLast(new AnswerDecoder(made[0]), new HttpRequestEncoder(), made[0]);
                    }
                })
                .connect(new InetSocketAddress(address.host(), address.port()))
                .addListener((ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        patience.recordOpened(clock.getAsLong() - began);
                        opened(target, pool, claim, made[0]);
                    } else {
                        notOpened(target, pool, claim);
                    }
                    then.accept(Dial.of(opened));
                });
    }

    private void opened(Target target, Pool pool, Claim claim, TargetConnection connection) {
        boolean wasLost = target.isUnreachable();
        target.onDialFinished(true, clock.getAsLong());
        if (claim.isOpen()) {
            claim.settle(connection);
        } else {
            keep(pool, connection);
        }
        if (wasLost) {
            reached.onReachable(target);
        }
    }

    private void notOpened(Target target, Pool pool, Claim claim) {
        target.onDialFinished(false, clock.getAsLong());
        if (!pool.willDial) {
            pool.willDial = true;
            loop.schedule(() -> dialAgain(target, pool), target.redialDelayMillis(), TimeUnit.MILLISECONDS);
        }
        if (claim.isOpen()) {
            claim.settle(null);
        }
    }

    private void dialAgain(Target target, Pool pool) {
        pool.willDial = false;
        if (target.isRedialDue() && reached.isKnown(target)) {
            dialAlone(target);
        }
    }

    private void keep(Pool pool, TargetConnection connection) {
        connection.idle(clock.getAsLong());
        pool.idle.addLast(connection);
    }

    /** Closes the connections of targets that aren't known any more, and those that were idle too long. */
    void sweep(Set<Target> known, long nowMillis) {
        for (Iterator<Map.Entry<Target, Pool>> entries = pools.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<Target, Pool> entry = entries.next();
            entry.getValue().idle.removeIf(connection -> dropIfOld(connection, nowMillis));
            if (!known.contains(entry.getKey())) {
                entry.getValue().idle.forEach(TargetConnection::abort);
                entries.remove();
            }
        }
    }

    private static boolean dropIfOld(TargetConnection connection, long nowMillis) {
        boolean old = !connection.isActive() || !isYoung(connection, true, nowMillis);
        if (old) {
            connection.abort();
        }
        return old;
    }

    /** Decodes answers; one to a HEAD request has no body whatever its head says. */
    private static final class AnswerDecoder extends HttpResponseDecoder {
        private final TargetConnection connection;

        AnswerDecoder(TargetConnection connection) {
            this.connection = connection;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean ofHead = connection.answersHead()
                    && message instanceof HttpResponse response
                    && response.status().code() >= HttpResponseStatus.OK.code();
            return ofHead || super.isContentAlwaysEmpty(message);
        }
    }
}
