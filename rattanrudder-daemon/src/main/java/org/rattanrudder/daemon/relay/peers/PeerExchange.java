package org.rattanrudder.daemon.relay.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.LoadReport.ReadPositions;
import org.rattanrudder.core.fleet.ReportSchedule;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.core.rollout.VersionQuestion;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.RelayChannels;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.RelayRegistration;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.store.PollIntervals;
import org.rattanrudder.daemon.relay.store.TopicFollower;
import org.rattanrudder.daemon.relay.store.TopicFollower.InitialRead;
import org.rattanrudder.daemon.relay.store.TopicListener;
import org.rattanrudder.daemon.relay.streams.StreamOriginExchange;
import org.rattanrudder.daemon.relay.targets.QueueDispatcher;
import org.rattanrudder.daemon.relay.targets.SelfReports;
import org.rattanrudder.wire.peer.PeerCodec;

/**
 * Exchanges load reports with peers several times a second, as UDP datagrams.
 *
 * <p>Relays discover each other through the platform's store, where each registers its address once. A lost datagram is
 * superseded by the next one. A peer whose reports cease is counted as having no requests in flight.
 */
public final class PeerExchange implements AutoCloseable {
    /** How often the relays that share permits are looked at anew; registrations change rarely. */
    private static final long PERMIT_SHARES_INTERVAL_MILLIS = 1_000;

    /**
     * Limit of a message. The load at some hundred targets fits in, and the buffer that each received
     * message takes stays small.
     */
    private static final int MAX_MESSAGE_BYTES = 16 * 1_024;

    private static final long REGISTER_RETRY_MILLIS = 1_000;
    private static final long REGISTER_TIMEOUT_MILLIS = 1_500;

    private final RelayState state;
    private final StepTimer timer;
    private final LoadReportFactory reports;
    private final Components components;
    private final LocalState localState;
    private final String relayId;
    private final Listener listener;
    private final Channel channel;
    private final TopicFollower follower;
    private final HttpCallClient registrationClient;
    private final ReportSchedule schedule = new ReportSchedule();
    private final UnknownSenders unknownSenders = new UnknownSenders();
    private final Map<String, RelayRegistration> registrations = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, Set<String>> relaysByAddress = new HashMap<>();
    /** Whether all relays that were registered at this relay's start are known. */
    private boolean relaysListed;

    private long permitSharesUpdatedAt = Long.MIN_VALUE / 2;

    /**
     * The components whose content is exchanged with peers.
     *
     * @param placements batches new placements, which are sent at once
     * @param fetchLateness records how late fetches were, for load reports
     * @param streamOrigins sends and receives the origins of streams
     * @param selfReports takes in which targets leave, as peers report it
     * @param queues is told when a peer's report has removed targets
     */
    public record Components(
            PlacementBroadcaster placements,
            FetchLatenessRecorder fetchLateness,
            StreamOriginExchange streamOrigins,
            SelfReports selfReports,
            QueueDispatcher queues) {}

    /** Provides the parts of a load report that other components of this relay own. */
    public interface LocalState {
        /** Returns the engines that this relay has ordered to load weights and that don't serve them yet. */
        List<String> loadingTargets();

        /** Updates which weights this relay votes to retire, by the targets that it knows. */
        void updateVotes(long nowMillis);

        /** Returns whether this relay accepts new connections. */
        boolean acceptsConnections();

        /** Returns the read positions of the platform's topics. */
        ReadPositions readPositions();
    }

    /** Handles the content of peers' messages that other components of this relay need. */
    public interface Listener {
        /** Handles a context store's update that a peer has received. */
        void onStoreUpdate(SharedStoreUpdate update);

        /** Handles a peer's read positions. */
        void onReadPositions(ReadPositions positions);

        /** Handles the targets to which a peer could open no connection. */
        void onUnreachable(List<String> targets);
    }

    /**
     * Creates an exchange that sends nothing until {@link #start}.
     *
     * @param datagrams opens the socket for datagrams
     * @param relayId names this process of the relay in its reports
     * @throws IOException if the address for peers can't be bound
     */
    public PeerExchange(
            RelayState state,
            Bootstrap datagrams,
            String relayId,
            Components components,
            LocalState localState,
            Listener listener)
            throws IOException {
        this.state = state;
        this.components = components;
        timer = new StepTimer(state.loop());
        this.localState = localState;
        this.relayId = relayId;
        reports = new LoadReportFactory(state, relayId, localState);
        this.listener = listener;
        Address address = state.settings().peers();
        channel = RelayChannels.awaitBound(
                datagrams
                        .channel(NioDatagramChannel.class)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES))
                        .handler(new MessageHandler())
                        .bind(new InetSocketAddress(address.host(), address.port())),
                address);
        follower = new TopicFollower(
                state, Topic.RELAYS, PollIntervals.RARE, InitialRead.NEWEST, new RegistrationListener());
        state.metrics()
                .gauge("rattanrudder_relay_peers", "Other relays that are registered and known", addresses::size);
        registrationClient = new HttpCallClient(state.connector(), state.heldBytes(), state::store, state.storeCalls());
    }

    /** Starts to read the registrations of relays and to send reports. */
    public void start() {
        follower.start();
        components.placements().setListener(this::sendPlacements);
        components.streamOrigins().setSender((message, relays) -> send(PeerCodec.write(message), List.copyOf(relays)));
        timer.later(this::sendDueReports, ReportSchedule.ROUND_MILLIS);
    }

    private void register() {
        if (registrationClient.isBusy()) {
            return;
        }
        registrationClient.call(
                state.platform().store().register(state.settings().instance(), ownRegistration()),
                REGISTER_TIMEOUT_MILLIS,
                answer -> {
                    state.metrics().recordStoreCall("REGISTER");
                    boolean done = state.storeEra().accept(answer) instanceof CallResult.Answered answered
                            && answered.status() == 200;
                    if (!done) {
                        timer.later(this::register, REGISTER_RETRY_MILLIS);
                    } else {
                        state.log()
                                .info(
                                        "relay_registered",
                                        "peers",
                                        ownRegistration().peerAddress().toString());
                    }
                });
    }

    /** Handles the registrations of relays. */
    private final class RegistrationListener implements TopicListener {
        private boolean listedOnce;
        private boolean listedInEra;
        private boolean registered;

        /** An older copy may lack this relay's registration; those of others that are known stay. */
        @Override
        public void onNewEra() {
            listedInEra = false;
            registered = false;
        }

        @Override
        public void onRecord(KeyedRecord record) {
            Optional<RelayRegistration> relay =
                    record.value().map(state.platform().store()::readRelay);
            if (record.key().equals(state.settings().instance())) {
                registered = relay.filter(ownRegistration()::equals).isPresent();
            } else if (!relay.equals(Optional.ofNullable(registrations.get(record.key())))) {
                removePeer(record.key());
                relay.ifPresent(known -> addPeer(record.key(), known));
                unknownSenders.onRegistration();
            }
            if (listedOnce) {
                updateRelays();
            }
        }

        /**
         * Registers this relay unless its address is registered already, as after a restart: all peers would have to
         * read the new record.
         */
        @Override
        public void onListed(Set<String> relays, LogPosition end) {
            if (!listedInEra && !registered) {
                register();
            }
            listedInEra = true;
            listedOnce = true;
            relaysListed = true;
            updateRelays();
        }
    }

    private RelayRegistration ownRegistration() {
        return new RelayRegistration(state.settings().peers(), state.settings().failureDomain());
    }

    private void addPeer(String relay, RelayRegistration registered) {
        Address at = registered.peerAddress();
        InetSocketAddress address = new InetSocketAddress(at.host(), at.port());
        registrations.put(relay, registered);
        addresses.put(relay, address);
        relaysByAddress.computeIfAbsent(address, unseen -> new HashSet<>()).add(relay);
        boolean near = registered.failureDomain().equals(state.settings().failureDomain());
        schedule.addRelay(relay, registered.failureDomain(), near, state.nowMillis());
        state.log().info("peer_known", "peer", relay, "address", at.toString());
    }

    private void removePeer(String relay) {
        registrations.remove(relay);
        InetSocketAddress address = addresses.remove(relay);
        if (address != null) {
            relaysByAddress.get(address).remove(relay);
        }
        schedule.removeRelay(relay);
    }

    private void sendDueReports() {
        long now = state.nowMillis();
        state.onReportRound();
        components.fetchLateness().nextRound();
        updateTargetSharing(now);
        List<ReportSchedule.Due> due = schedule.nextRound(now);
        if (!due.isEmpty()) {
            localState.updateVotes(now);
            LoadReport load = reports.full(now);
            for (ReportSchedule.Due group : due) {
                List<StoreLateness> late = components.fetchLateness().sumOfLast(group.intervalRounds());
                send(PeerCodec.write(load.withInterval(group.intervalMillis(), late)), group.relays());
            }
        }
        timer.later(this::sendDueReports, ReportSchedule.ROUND_MILLIS);
    }

    /** Recomputes which relays share which targets. */
    private void updateTargetSharing(long now) {
        Map<String, String> domains = new HashMap<>(schedule.liveRelayDomains(now));
        domains.put(state.settings().instance(), state.settings().failureDomain());
        state.fleet().updateRelays(state.settings().instance(), domains);
        updateRelays();
        if (relaysListed && now - permitSharesUpdatedAt >= PERMIT_SHARES_INTERVAL_MILLIS) {
            permitSharesUpdatedAt = now;
            Map<String, String> registered = new HashMap<>(schedule.registeredRelayDomains(now));
            registered.put(state.settings().instance(), state.settings().failureDomain());
            state.permitShares().updateRelays(state.settings().instance(), registered);
        }
    }

    /** Tells the components that depend on the other relays which are live and which are registered. */
    private void updateRelays() {
        long now = state.nowMillis();
        Set<String> live = new HashSet<>(schedule.liveRelayDomains(now).keySet());
        Set<String> registered =
                new HashSet<>(schedule.registeredRelayDomains(now).keySet());
        live.add(state.settings().instance());
        registered.add(state.settings().instance());
        components.streamOrigins().updateRelays(live, registered);
        if (relaysListed) {
            state.retiredWeights().updateRelays(registered, schedule.longestIntervalMillis());
        }
    }

    /**
     * Sends new placements at once to the relays that share the targets, which would otherwise place their own requests
     * there too.
     */
    private void sendPlacements(List<Target> sentTo) {
        Set<String> sharers = sentTo.stream()
                .flatMap(target -> target.sharingRelays().stream())
                .collect(Collectors.toSet());
        send(PeerCodec.write(reports.partial(sentTo)), live(sharers));
    }

    /** Returns up to where the registrations of relays have been read. */
    public LogPosition relaysReadPosition() {
        return follower.readPosition();
    }

    /** Returns where live peers can be reached, in an order of this relay's own. */
    public List<Address> livePeerAddresses() {
        long own = state.relayHash();
        return live(addresses.keySet()).stream()
                .sorted(Comparator.comparingLong(peer -> Hashing.combine(own, Hashing.of(peer))))
                .map(addresses::get)
                .map(address -> new Address(address.getAddress().getHostAddress(), address.getPort()))
                .toList();
    }

    /** Returns whether a peer is registered at a host. */
    public boolean isPeerHost(String host) {
        return addresses.values().stream()
                .anyMatch(address -> address.getAddress().getHostAddress().equals(host));
    }

    /** Tells all live peers at once how far this relay has read and written the platform's topics. */
    public void announceReadPositions() {
        send(PeerCodec.write(reports.partial(List.of())), live(addresses.keySet()));
    }

    /** Sends a context store's update to all live peers. */
    public void broadcast(SharedStoreUpdate update) {
        send(PeerCodec.write(update), live(addresses.keySet()));
    }

    private List<String> live(Set<String> relays) {
        long now = state.nowMillis();
        return relays.stream().filter(relay -> schedule.isLive(relay, now)).toList();
    }

    private void send(byte[] bytes, List<String> relays) {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            state.metrics().recordPeerMessageDropped("too_long");
            state.log().warn("peer_message_too_long", "bytes", Integer.toString(bytes.length));
            return;
        }
        for (String relay : relays) {
            InetSocketAddress address = addresses.get(relay);
            if (address != null) {
                state.metrics().recordPeerMessageSent();
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
            }
        }
        channel.flush();
    }

    /** Handles received datagrams. */
    private final class MessageHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final DroppedMessageLog dropped = new DroppedMessageLog(state);

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            state.metrics().recordPeerMessageReceived();
            // A reused address may also be in the remaining registration of its former relay.
            Set<String> relays = relaysByAddress.getOrDefault(packet.sender(), Set.of());
            if (relays.isEmpty()) {
                dropped.record(packet.sender(), "unknown_sender");
                if (unknownSenders.leadToRead(state.nowMillis())) {
                    follower.pollNow();
                }
                return;
            }
            Optional<PeerCodec.Message> message = PeerCodec.read(ByteBufUtil.getBytes(packet.content()));
            if (message.isEmpty()) {
                dropped.record(packet.sender(), "unreadable");
            } else if (message.get() instanceof PeerCodec.Message.News news) {
                listener.onStoreUpdate(news.news());
            } else if (message.get() instanceof PeerCodec.Message.Origins origins) {
                components.streamOrigins().onMessage(relays, origins.origins());
            } else if (message.get() instanceof PeerCodec.Message.Load load) {
                relays.stream()
                        .filter(load.load().relay()::startsWith)
                        .findFirst()
                        .ifPresentOrElse(
                                relay -> onLoadReport(relay, load.load()),
                                () -> dropped.record(packet.sender(), "other_name"));
            }
        }

        private void onLoadReport(String relay, LoadReport load) {
            long now = state.nowMillis();
            schedule.onReport(relay, now);
            load.weights().forEach(known -> state.weights().onKnownAtPeer(known.model(), known.version()));
            int before = state.fleet().all(now).size();
            state.fleet().applyLoadReport(load, now);
            logRemoved(relay, before - state.fleet().all(now).size());
            components.selfReports().onPeerReport(relay, load);
            load.storeLateness().forEach(late -> state.directory().recordFetchLateness(late, now));
            onVersionQuestion(relay, load);
            if (load.full()) {
                state.retiredWeights()
                        .onPeerReport(relay, load.retirement(), !state.mayReportsHaveWaited(), state.atMostMillis());
            }
            follower.onPeerPosition(load.readPositions().relays());
            listener.onReadPositions(load.readPositions());
            listener.onUnreachable(load.unreachable());
        }

        private void onVersionQuestion(String relay, LoadReport load) {
            long now = state.atMostMillis();
            VersionQuestion question = load.question();
            question.askedAt().ifPresent(askedAt -> state.versionExchange().onAsked(relay, load.relay(), askedAt, now));
            question.answered().stream()
                    .filter(answered -> answered.relay().equals(relayId))
                    .forEach(answered -> state.versionExchange().onAnswered(answered.askedAt(), load.weights(), now));
        }

        private void logRemoved(String relay, int removed) {
            if (removed > 0) {
                state.log().info("peer_says_removed", "peer", relay, "targets", Integer.toString(removed));
                components.queues().onUsableTargetsChanged();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A stopped relay shows as an unreachable port; the next message may reach it again.
            state.log().info("peer_unreachable", "reason", String.valueOf(cause.getMessage()));
        }
    }

    @Override
    public void close() {
        timer.close();
        follower.close();
        registrationClient.close();
        channel.close();
    }
}
