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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.fleet.LoadReport.ReadOffsets;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.fleet.ReportSchedule;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.daemon.relay.TopicFollower.Reading;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.RelayRegistration;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.wire.peer.PeerCodec;

/**
 * Tells the other relays several times a second which work is under way at which target, and hears the same of them.
 *
 * <p>Relays find each other in the platform's store, where each writes its address once. A lost datagram is made
 * good by the next; a relay that isn't heard of any more has no work.
 */
final class PeerExchange implements AutoCloseable {
    /** How long new weights of a target are told: until the target's own entry says so, or some messages were lost. */
    private static final long TOLD_MILLIS = 2_500;

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
    private final ReportSchedule schedule = new ReportSchedule();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, Set<String>> names = new HashMap<>();
    private long sequence;

    /** What this relay knows at first hand and tells others. */
    interface OwnNews {
        /** Returns the engines that it has ordered to load weights and that don't serve them yet. */
        List<String> loading();

        /** Returns whether it takes new connections. */
        boolean ready();

        /** Returns how far it has read the platform's records. */
        ReadOffsets readTo();
    }

    /** What others say that concerns other parts of this relay. */
    interface Listener {
        /** Another relay tells what a context store said. */
        void news(SharedStoreUpdate news);

        /** Another relay has read the platform's records so far. */
        void readTo(ReadOffsets readTo);

        /** Another relay could open no connection to these targets. */
        void unreachable(List<String> targets);
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
        follower = new TopicFollower(state, Topic.RELAYS, Pace.RARE_IN_GROUPS, Reading.NEWEST, new Registrations());
        registering = new CallLine(state.connector(), state::store);
    }

    void start() {
        follower.start();
        state.placementBroadcaster().tellBy(this::tellAtOnce);
        timer.later(this::tell, ReportSchedule.ROUND_MILLIS);
    }

    private void register() {
        registering.call(
                state.platform().store().register(state.settings().instance(), ownRegistration()),
                REGISTER_TIMEOUT_MILLIS,
                answer -> {
                    state.metrics().storeCall("REGISTER");
                    boolean done = answer instanceof CallAnswer.Answered answered && answered.status() == 200;
                    if (!done) {
                        timer.later(this::register, REGISTER_AGAIN_MILLIS);
                    } else {
                        state.log()
                                .info(
                                        "relay_registered",
                                        "peers",
                                        ownRegistration().peerAddress().toString());
                    }
                });
    }

    /** Takes the addresses of relays. */
    private final class Registrations implements TopicFollower.Listener {
        private boolean listedOnce;
        private boolean registered;

        @Override
        public void record(KeyedRecord record) {
            Optional<RelayRegistration> relay =
                    record.value().map(state.platform().store()::readRelay);
            if (record.key().equals(state.settings().instance())) {
                registered = relay.filter(ownRegistration()::equals).isPresent();
            } else {
                forget(record.key());
                relay.ifPresent(known -> know(record.key(), known));
            }
        }

        /** A relay that starts again where it was registered before writes nothing: all others would read it. */
        @Override
        public void listed(Set<String> relays, long end) {
            if (!listedOnce && !registered) {
                register();
            }
            listedOnce = true;
        }
    }

    private RelayRegistration ownRegistration() {
        return new RelayRegistration(state.settings().peers(), state.settings().failureDomain());
    }

    private void know(String relay, RelayRegistration registered) {
        Address at = registered.peerAddress();
        InetSocketAddress address = new InetSocketAddress(at.host(), at.port());
        addresses.put(relay, address);
        names.computeIfAbsent(address, unseen -> new HashSet<>()).add(relay);
        boolean near = registered.failureDomain().equals(state.settings().failureDomain());
        schedule.addRelay(relay, registered.failureDomain(), near);
        state.log().info("peer_known", "peer", relay, "address", at.toString());
    }

    private void forget(String relay) {
        InetSocketAddress address = addresses.remove(relay);
        if (address != null) {
            names.get(address).remove(relay);
        }
        schedule.removeRelay(relay);
    }

    private void tell() {
        long now = state.nowMillis();
        state.fetchLateness().nextRound();
        shareTargets(now);
        List<ReportSchedule.Due> due = schedule.nextRound(now);
        if (!due.isEmpty()) {
            LoadReport load = all(now);
            for (ReportSchedule.Due group : due) {
                List<StoreLateness> late = state.fetchLateness().ofLast(group.intervalRounds());
                send(PeerCodec.write(load.withInterval(group.intervalMillis(), late)), group.relays());
            }
        }
        timer.later(this::tell, ReportSchedule.ROUND_MILLIS);
    }

    /** Works out anew which relays share which targets. */
    private void shareTargets(long now) {
        Map<String, String> domains = new HashMap<>(schedule.liveRelayDomains(now));
        domains.put(state.settings().instance(), state.settings().failureDomain());
        state.fleet().updateRelays(state.settings().instance(), domains);
    }

    private LoadReport all(long now) {
        return new LoadReport(
                self,
                sequence++,
                true,
                work(),
                weights(now),
                served(now),
                own.loading(),
                state.fleet().unreachableTargets(now),
                own.ready(),
                own.readTo(),
                List.of(),
                0);
    }

    /** Tells the relays that share engines at once of work that was just sent there: they would send theirs, too. */
    private void tellAtOnce(List<Target> sentTo) {
        List<TargetLoad> changed = sentTo.stream().map(Target::ownLoad).toList();
        Set<String> sharers = sentTo.stream()
                .flatMap(target -> target.sharingRelays().stream())
                .collect(Collectors.toSet());
        LoadReport load = LoadReport.ofTargets(self, sequence++, false, changed, own.ready(), own.readTo());
        send(PeerCodec.write(load), listening(sharers));
    }

    /** Tells the other relays what a context store said. */
    void share(SharedStoreUpdate news) {
        send(PeerCodec.write(news), listening(addresses.keySet()));
    }

    private List<String> listening(Set<String> relays) {
        long now = state.nowMillis();
        return relays.stream().filter(relay -> schedule.isLive(relay, now)).toList();
    }

    private void send(byte[] bytes, List<String> relays) {
        for (String relay : relays) {
            InetSocketAddress address = addresses.get(relay);
            if (address != null) {
                state.metrics().peerMessageSent();
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
            }
        }
        channel.flush();
    }

    private List<TargetLoad> work() {
        return state.fleet().all(state.nowMillis()).stream()
                .filter(target ->
                        target.inFlight() > 0 && target.registration().weights().size() > 0)
                .map(Target::ownLoad)
                .toList();
    }

    private List<KnownWeights> weights(long now) {
        return state.weights().versionsWithKnownAge().stream()
                .map(named -> new KnownWeights(named.model(), named.version(), now - named.sinceMillis()))
                .toList();
    }

    private List<ServedWeights> served(long now) {
        return state.fleet().all(now).stream()
                .flatMap(target -> target.weightsConfirmedSince(now - TOLD_MILLIS).stream())
                .toList();
    }

    /** Takes messages. */
    private final class Messages extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            state.metrics().peerMessageReceived();
            // An address may have been another relay's, whose registration stays.
            Set<String> relays = names.getOrDefault(packet.sender(), Set.of());
            if (relays.isEmpty()) {
                dropped(packet.sender(), "unknown_sender");
                return;
            }
            Optional<PeerCodec.Message> message = PeerCodec.read(ByteBufUtil.getBytes(packet.content()));
            if (message.isEmpty()) {
                dropped(packet.sender(), "unreadable");
            } else if (message.get() instanceof PeerCodec.Message.News news) {
                listener.news(news.news());
            } else if (message.get() instanceof PeerCodec.Message.Load load) {
                relays.stream()
                        .filter(load.load().relay()::startsWith)
                        .findFirst()
                        .ifPresentOrElse(
                                relay -> heard(relay, load.load()), () -> dropped(packet.sender(), "other_name"));
            }
        }

        /** Anybody may send here: what isn't a relay's message changes nothing. */
        private void dropped(InetSocketAddress sender, String reason) {
            state.metrics().peerMessageDropped(reason);
            state.log().info("peer_message_dropped", "sender", String.valueOf(sender), "reason", reason);
        }

        private void heard(String relay, LoadReport load) {
            long now = state.nowMillis();
            schedule.onReport(relay, now);
            state.fleet().applyLoadReport(load, now);
            load.storeLateness().forEach(late -> state.directory().recordFetchLateness(late, now));
            load.weights()
                    .forEach(known ->
                            state.weights().applyPeerAge(known.model(), known.version(), known.ageMillis(), now));
            listener.readTo(load.readOffsets());
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
