package org.rattanrudder.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.fleet.RelayLoad;
import org.rattanrudder.core.fleet.RelayLoad.KnownWeights;
import org.rattanrudder.core.fleet.RelayLoad.ReadTo;
import org.rattanrudder.core.fleet.RelayLoad.ServedWeights;
import org.rattanrudder.core.fleet.RelayLoad.TargetLoad;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedNews;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.RegisteredRelay;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.wire.peer.PeerCodec;

/**
 * Tells the other relays several times a second which work is under way at which target, and hears the same of them.
 *
 * <p>Relays find each other in the platform's store, where each writes its address once. A lost datagram is made
 * good by the next; a relay that isn't heard of any more has no work.
 */
final class PeerExchange implements AutoCloseable {
    /**
     * The time between two messages, in ms. It is the age of what others know, in which they may overfill a target; a
     * message takes about 25 bytes for each target.
     */
    private static final long EVERY_MILLIS = 100;

    /**
     * Many relays tell all of their work in each so-manieth round only: what they place is told at once anyway. In the
     * model 27 relays served as much on time as with four times the messages, within the spread of ten seeds.
     */
    private static final int MANY_EVERY = 4;

    private static final int MANY = 8;

    /**
     * Up to so many relays, those of other failure domains are told at once of each request that is sent, too. The
     * messages of all grow with the square of the relays: of 32 with 16 requests a second each, one gets 500 a second.
     */
    private static final int MOST_AT_ONCE = 40;

    /** How late fetches were is told in each so-manieth round. */
    private static final int FETCHES_EVERY = 2;

    /** A relay that was never heard of or fell silent is told this much less often. */
    private static final int SILENT_EVERY = 10;

    /** How long new weights of a target are told: until the target's own entry says so, or some messages were lost. */
    private static final long TOLD_MILLIS = 2_500;

    private static final long SILENT_MILLIS = 5_000;
    private static final long REGISTER_AGAIN_MILLIS = 1_000;
    private static final long REGISTER_TIMEOUT_MILLIS = 1_500;

    private final RelayState state;
    private final StepTimer timer;
    private final String self;
    private final OwnNews own;
    private final Listener listener;
    private final Channel channel;
    private final TopicFollower follower;
    private final CallLine registering;
    private final Map<String, Peer> peers = new HashMap<>();
    private long sequence;
    private long rounds;

    /** What this relay knows at first hand and tells others. */
    interface OwnNews {
        /** Returns the engines that it has ordered to load weights and that don't serve them yet. */
        List<String> loading();

        /** Returns whether it takes new connections. */
        boolean ready();

        /** Returns how far it has read the platform's records. */
        ReadTo readTo();
    }

    /** What others say that concerns other parts of this relay. */
    interface Listener {
        /** Another relay tells what a context store said. */
        void news(SharedNews news);

        /** Another relay has read the platform's records so far. */
        void readTo(ReadTo readTo);

        /** Another relay could open no connection to these targets. */
        void unreachable(List<String> targets);
    }

    /** Another relay. */
    private static final class Peer {
        private final InetSocketAddress address;
        private final boolean near;
        private long heardAt = Long.MIN_VALUE / 2;

        Peer(InetSocketAddress address, boolean near) {
            this.address = address;
            this.near = near;
        }
    }

    PeerExchange(RelayState state, Bootstrap datagrams, String self, OwnNews own, Listener listener)
            throws IOException {
        this.state = state;
        timer = new StepTimer(state.loop());
        this.self = self;
        this.own = own;
        this.listener = listener;
        Address address = state.settings().peers();
        channel = RelayChannels.opened(
                datagrams
                        .channel(NioDatagramChannel.class)
                        .handler(new Messages())
                        .bind(new InetSocketAddress(address.host(), address.port())),
                address);
        follower = new TopicFollower(state, Topic.RELAYS, TopicFollower.Pace.RARE, true, this::registered);
        registering = new CallLine(state.connector(), state::store);
    }

    void start() {
        follower.start();
        register();
        state.workNews().tellBy(this::tellAtOnce);
        timer.later(this::tell, EVERY_MILLIS);
    }

    private void register() {
        Address address = state.settings().peers();
        registering.call(
                state.platform()
                        .store()
                        .register(
                                state.settings().instance(),
                                new RegisteredRelay(address, state.settings().failureDomain())),
                REGISTER_TIMEOUT_MILLIS,
                answer -> {
                    state.metrics().storeCall("REGISTER");
                    boolean done = answer instanceof CallAnswer.Answered answered && answered.status() == 200;
                    if (!done) {
                        timer.later(this::register, REGISTER_AGAIN_MILLIS);
                    } else {
                        state.log().info("relay_registered", "peers", address.toString());
                    }
                });
    }

    /** Takes the address of a relay. */
    private void registered(KeyedRecord record) {
        if (record.key().equals(state.settings().instance())) {
            return;
        }
        if (record.value().isEmpty()) {
            peers.remove(record.key());
            return;
        }
        RegisteredRelay relay =
                state.platform().store().readRelay(record.value().get());
        Address address = relay.peers();
        boolean near = relay.failureDomain().equals(state.settings().failureDomain());
        peers.put(record.key(), new Peer(new InetSocketAddress(address.host(), address.port()), near));
        state.log().info("peer_known", "peer", record.key(), "address", address.toString());
    }

    private void tell() {
        if (peers.size() <= MANY || rounds % MANY_EVERY == 0) {
            tellAll(rounds % SILENT_EVERY == 0);
        }
        if (rounds % FETCHES_EVERY == 0) {
            tellFetches();
        }
        rounds++;
        timer.later(this::tell, EVERY_MILLIS);
    }

    private void tellAll(boolean silentOnesToo) {
        long now = state.now();
        RelayLoad load = new RelayLoad(
                self,
                sequence++,
                true,
                work(),
                weights(now),
                served(now),
                own.loading(),
                state.fleet().unreachable(now),
                own.ready(),
                own.readTo());
        send(PeerCodec.write(load), true, silentOnesToo);
    }

    /** Tells other relays at once of engines that work was just sent to: they would send theirs to the same ones. */
    private void tellAtOnce(List<Target> sentTo) {
        List<TargetLoad> changed = sentTo.stream().map(Target::ownLoad).toList();
        RelayLoad load = RelayLoad.ofWork(self, sequence++, false, changed, own.ready(), own.readTo());
        send(PeerCodec.write(load), peers.size() <= MOST_AT_ONCE, false);
    }

    /** Tells the other relays how late fetches were. */
    private void tellFetches() {
        List<StoreLateness> late = state.fetchNews().take();
        if (!late.isEmpty()) {
            send(PeerCodec.write(late), peers.size() <= MOST_AT_ONCE, false);
        }
    }

    /** Tells the other relays what a context store said. */
    void share(SharedNews news) {
        send(PeerCodec.write(news), true, false);
    }

    private void send(byte[] bytes, boolean toFarOnes, boolean toSilentOnes) {
        long now = state.now();
        for (Peer peer : peers.values()) {
            boolean listens = toSilentOnes || now - peer.heardAt <= SILENT_MILLIS;
            if (listens && (toFarOnes || peer.near)) {
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer.address));
            }
        }
        channel.flush();
    }

    private List<TargetLoad> work() {
        return state.fleet().all(state.now()).stream()
                .filter(target ->
                        target.inFlight() > 0 && target.entry().weights().size() > 0)
                .map(Target::ownLoad)
                .toList();
    }

    private List<KnownWeights> weights(long now) {
        return state.weights().all().stream()
                .map(named -> new KnownWeights(named.model(), named.version(), now - named.sinceMillis()))
                .toList();
    }

    private List<ServedWeights> served(long now) {
        return state.fleet().all(now).stream()
                .flatMap(target -> target.confirmedSince(now - TOLD_MILLIS).stream())
                .toList();
    }

    /** Takes messages. */
    private final class Messages extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            PeerCodec.read(ByteBufUtil.getBytes(packet.content())).ifPresent(message -> {
                if (message instanceof PeerCodec.Message.Load load) {
                    heard(packet.sender(), load.load());
                } else if (message instanceof PeerCodec.Message.News news) {
                    listener.news(news.news());
                } else if (message instanceof PeerCodec.Message.Fetches fetches) {
                    fetches.late().forEach(late -> state.directory().fetched(late, state.now()));
                }
            });
        }

        private void heard(InetSocketAddress sender, RelayLoad load) {
            long now = state.now();
            for (Peer peer : peers.values()) {
                if (peer.address.getAddress().equals(sender.getAddress())) {
                    peer.heardAt = now;
                }
            }
            state.fleet().heard(load, now);
            load.weights()
                    .forEach(known -> state.weights().known(known.model(), known.version(), known.ageMillis(), now));
            listener.readTo(load.readTo());
            listener.unreachable(load.unreachable());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A relay that isn't there any more shows as an unreachable port; the next message may reach it.
            state.log().info("peer_unreachable", "reason", String.valueOf(cause.getMessage()));
        }
    }

    @Override
    public void close() {
        timer.close();
        follower.close();
        registering.close();
        channel.close();
    }
}
