package org.rattanrudder.wire.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.rattanrudder.core.continuation.OriginMessage;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.fleet.LoadReport.LeavingTarget;
import org.rattanrudder.core.fleet.LoadReport.ReadPositions;
import org.rattanrudder.core.fleet.LoadReport.RemovedTarget;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartEvent;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.RetirementReport;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.core.parts.StoreUpdate;
import org.rattanrudder.core.rollout.VersionQuestion;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.wire.generated.PeerMessages.KnownWeightsMessage;
import org.rattanrudder.wire.generated.PeerMessages.LeavingTargetMessage;
import org.rattanrudder.wire.generated.PeerMessages.PartEventMessage;
import org.rattanrudder.wire.generated.PeerMessages.PartNewsMessage;
import org.rattanrudder.wire.generated.PeerMessages.PeerMessage;
import org.rattanrudder.wire.generated.PeerMessages.RateLimitMessage;
import org.rattanrudder.wire.generated.PeerMessages.RelayLoadMessage;
import org.rattanrudder.wire.generated.PeerMessages.RemovedTargetMessage;
import org.rattanrudder.wire.generated.PeerMessages.ServedWeightsMessage;
import org.rattanrudder.wire.generated.PeerMessages.StoreLatenessMessage;
import org.rattanrudder.wire.generated.PeerMessages.StreamKeyMessage;
import org.rattanrudder.wire.generated.PeerMessages.StreamOriginMessage;
import org.rattanrudder.wire.generated.PeerMessages.StreamOriginsMessage;
import org.rattanrudder.wire.generated.PeerMessages.TargetLoadMessage;
import org.rattanrudder.wire.generated.PeerMessages.VersionsAnsweredMessage;

/** Writes and reads what relays tell each other. */
public final class PeerCodec {
    /** Lateness is told up to this, in ms: beyond it nothing is decided any more. */
    private static final double MOST_LATE_MILLIS = 60_000;

    /** Figures beyond these no relay has; a message with one comes from another writer. */
    private static final long MOST_REQUESTS = 1_000_000;

    private static final long MOST_TOKENS = 1_000_000_000_000L;
    private static final long MOST_MILLIS = 3_600_000;

    /** Longer than the time between two reports of any relay. */
    private static final long MOST_INTERVAL_MILLIS = 60_000;

    private PeerCodec() {}

    /** What a datagram holds. */
    public sealed interface Message {
        /**
         * The work of a relay.
         *
         * @param load the work
         */
        record Load(LoadReport load) implements Message {}

        /**
         * News of a context store.
         *
         * @param news the news
         */
        record News(SharedStoreUpdate news) implements Message {}

        /**
         * The beginnings of streams.
         *
         * @param origins what is told and asked
         */
        record Origins(OriginMessage origins) implements Message {}
    }

    /** A position of an earlier era tells nobody anything any more. */
    private static long offsetIn(long era, LogPosition position) {
        return position.era() == era ? position.offset() : 0;
    }

    /** Returns the message as bytes. */
    public static byte[] write(LoadReport load) {
        ReadPositions positions = load.readPositions();
        long era = positions.era();
        RelayLoadMessage.Builder message = RelayLoadMessage.newBuilder()
                .setRelay(load.relay())
                .setSequence(load.sequence())
                .setPartial(!load.full())
                .setLogEra(era)
                .setWishesReadTo(offsetIn(era, positions.desiredConfiguration()))
                .setTargetsChangedTo(offsetIn(era, positions.targetsChanged()))
                .setQuarantineReadTo(offsetIn(era, positions.quarantine()))
                .setRelaysReadTo(offsetIn(era, positions.relays()))
                .setRetiredBefore(load.retirement().retiredBefore())
                .setLogRead(load.retirement().logRead())
                .setRelaysHash(load.retirement().relaysHash());
        for (TargetLoad target : load.targets()) {
            message.addTargets(TargetLoadMessage.newBuilder()
                    .setTarget(target.target())
                    .setRequests(target.requests())
                    .setTokens(target.tokens())
                    .setUnreadTokens(target.pendingPrefillTokens()));
        }
        for (KnownWeights known : load.weights()) {
            message.addWeights(KnownWeightsMessage.newBuilder()
                    .setModel(known.model())
                    .setVersion(known.version())
                    .setAgeMillis(known.ageMillis()));
        }
        for (ServedWeights served : load.served()) {
            message.addServed(ServedWeightsMessage.newBuilder()
                    .setTarget(served.target())
                    .setStartedAt(served.startedAt())
                    .setModel(served.model())
                    .setVersion(served.version()));
        }
        message.addAllLoading(load.loading());
        message.addAllUnreachable(load.unreachable());
        message.setReady(load.ready());
        load.storeLateness().forEach(late -> message.addLate(message(late)));
        load.rateLimits().forEach(seen -> message.addRateLimits(message(seen)));
        load.leaving()
                .forEach(each -> message.addLeaving(LeavingTargetMessage.newBuilder()
                        .setTarget(each.target())
                        .setStartedAt(each.startedAt())));
        load.removed().stream()
                .filter(each -> each.position().era() == era)
                .forEach(each -> message.addRemoved(RemovedTargetMessage.newBuilder()
                        .setTarget(each.target())
                        .setOffset(each.position().offset())));
        load.question().askedAt().ifPresent(message::setVersionsAskedAt);
        load.question()
                .answered()
                .forEach(each -> message.addVersionsAnswered(VersionsAnsweredMessage.newBuilder()
                        .setRelay(each.relay())
                        .setAskedAt(each.askedAt())));
        message.setEveryMillis((int) load.intervalMillis());
        return PeerMessage.newBuilder().setLoad(message).build().toByteArray();
    }

    /** Returns the message as bytes. */
    public static byte[] write(SharedStoreUpdate shared) {
        PartNewsMessage.Builder message = PartNewsMessage.newBuilder()
                .setStore(shared.store().toString())
                .setIncarnation(shared.update().incarnation())
                .setSince(shared.since())
                .setNext(shared.update().next())
                .setAgeMillis(shared.ageMillis());
        shared.update().clockMillis().ifPresent(message::setClockMillis);
        for (PartEvent event : shared.update().events()) {
            message.addEvents(PartEventMessage.newBuilder()
                    .setSalt(event.key().salt())
                    .setId(event.key().id())
                    .setTokens(event.tokens())
                    .setHeld(event.held()));
        }
        return PeerMessage.newBuilder().setPartNews(message).build().toByteArray();
    }

    /** Returns the message as bytes. */
    public static byte[] write(OriginMessage origins) {
        StreamOriginsMessage.Builder message = StreamOriginsMessage.newBuilder();
        origins.told().forEach(told -> message.addTold(message(told)));
        origins.asked().forEach(key -> message.addAsked(message(key)));
        origins.unknown().forEach(key -> message.addUnknown(message(key)));
        return PeerMessage.newBuilder().setStreamOrigins(message).build().toByteArray();
    }

    private static StreamOriginMessage message(OriginMessage.Told told) {
        StreamOriginMessage.Builder message = StreamOriginMessage.newBuilder()
                .setKey(message(told.key()))
                .setKeepMillis((int) Math.min(MOST_MILLIS, told.keepMillis()));
        told.origin()
                .ifPresent(origin -> message.setService(origin.service()).setSoftwareVersion(origin.softwareVersion()));
        return message.build();
    }

    private static StreamKeyMessage message(StreamKey key) {
        return StreamKeyMessage.newBuilder()
                .setFirst(key.first())
                .setSecond(key.second())
                .build();
    }

    private static StoreLatenessMessage message(StoreLateness late) {
        return StoreLatenessMessage.newBuilder()
                .setStore(late.store().toString())
                .setSamples(late.samples())
                .setMeanMillis((int) Math.min(MOST_LATE_MILLIS, late.meanMillis()))
                .build();
    }

    private static RateLimitMessage message(SeenRateLimit seen) {
        RateLimitMessage.Builder message = RateLimitMessage.newBuilder()
                .setTarget(seen.target())
                .setSentAgeMillis(seen.sentAgeMillis())
                .setReceivedAgeMillis(seen.receivedAgeMillis());
        seen.requestsPerSecond().ifPresent(message::setRequestsPerSecond);
        return message.build();
    }

    /** Reads a message; empty if the bytes are none. */
    public static Optional<Message> read(byte[] bytes) {
        try {
            PeerMessage message = PeerMessage.parseFrom(bytes);
            return switch (message.getKindCase()) {
                case LOAD -> Optional.of(new Message.Load(load(message.getLoad())));
                case PART_NEWS -> Optional.of(new Message.News(news(message.getPartNews())));
                case STREAM_ORIGINS -> Optional.of(new Message.Origins(origins(message.getStreamOrigins())));
                case KIND_NOT_SET -> Optional.empty();
            };
        } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static OriginMessage origins(StreamOriginsMessage message) {
        return new OriginMessage(
                message.getToldList().stream().map(PeerCodec::told).toList(),
                message.getAskedList().stream().map(PeerCodec::key).toList(),
                message.getUnknownList().stream().map(PeerCodec::key).toList());
    }

    private static OriginMessage.Told told(StreamOriginMessage message) {
        boolean known =
                !message.getService().isEmpty() && !message.getSoftwareVersion().isEmpty();
        Optional<StreamOrigin> origin = known
                ? Optional.of(new StreamOrigin(message.getService(), message.getSoftwareVersion()))
                : Optional.empty();
        return new OriginMessage.Told(key(message.getKey()), origin, within(message.getKeepMillis(), MOST_MILLIS));
    }

    private static StreamKey key(StreamKeyMessage message) {
        return new StreamKey(message.getFirst(), message.getSecond());
    }

    private static LoadReport load(RelayLoadMessage message) {
        List<TargetLoad> targets =
                message.getTargetsList().stream().map(PeerCodec::targetLoad).toList();
        List<KnownWeights> weights = message.getWeightsList().stream()
                .map(each -> new KnownWeights(
                        each.getModel(), each.getVersion(), within(each.getAgeMillis(), Long.MAX_VALUE)))
                .toList();
        List<ServedWeights> served = message.getServedList().stream()
                .map(each -> new ServedWeights(
                        each.getTarget(),
                        within(each.getStartedAt(), Long.MAX_VALUE),
                        each.getModel(),
                        each.getVersion()))
                .toList();
        long era = within(message.getLogEra(), Long.MAX_VALUE);
        ReadPositions readTo = new ReadPositions(
                new LogPosition(era, message.getWishesReadTo()),
                new LogPosition(era, message.getTargetsChangedTo()),
                new LogPosition(era, message.getQuarantineReadTo()),
                new LogPosition(era, message.getRelaysReadTo()));
        return new LoadReport(
                message.getRelay(),
                message.getSequence(),
                !message.getPartial(),
                targets,
                weights,
                served,
                message.getLoadingList(),
                message.getUnreachableList(),
                message.getReady(),
                readTo,
                message.getLateList().stream().map(PeerCodec::late).toList(),
                message.getRateLimitsList().stream().map(PeerCodec::rateLimit).toList(),
                message.getLeavingList().stream()
                        .map(each -> new LeavingTarget(each.getTarget(), within(each.getStartedAt(), Long.MAX_VALUE)))
                        .toList(),
                message.getRemovedList().stream()
                        .map(each -> new RemovedTarget(
                                each.getTarget(), new LogPosition(era, within(each.getOffset(), Long.MAX_VALUE))))
                        .toList(),
                new RetirementReport(
                        within(message.getRetiredBefore(), Long.MAX_VALUE),
                        message.getLogRead(),
                        message.getRelaysHash()),
                question(message),
                within(message.getEveryMillis(), MOST_INTERVAL_MILLIS));
    }

    private static VersionQuestion question(RelayLoadMessage message) {
        OptionalLong askedAt =
                message.hasVersionsAskedAt() ? OptionalLong.of(message.getVersionsAskedAt()) : OptionalLong.empty();
        return new VersionQuestion(
                askedAt,
                message.getVersionsAnsweredList().stream()
                        .map(each -> new VersionQuestion.Answered(each.getRelay(), each.getAskedAt()))
                        .toList());
    }

    private static TargetLoad targetLoad(TargetLoadMessage message) {
        return new TargetLoad(
                message.getTarget(),
                (int) within(message.getRequests(), MOST_REQUESTS),
                within(message.getTokens(), MOST_TOKENS),
                within(message.getUnreadTokens(), MOST_TOKENS));
    }

    private static StoreLateness late(StoreLatenessMessage message) {
        return new StoreLateness(
                Address.parse(message.getStore()),
                (int) within(message.getSamples(), MOST_REQUESTS),
                within(message.getMeanMillis(), MOST_MILLIS));
    }

    private static SeenRateLimit rateLimit(RateLimitMessage message) {
        OptionalDouble perSecond = OptionalDouble.empty();
        if (message.hasRequestsPerSecond()) {
            perSecond = OptionalDouble.of(rate(message.getRequestsPerSecond()));
        }
        return new SeenRateLimit(
                message.getTarget(),
                perSecond,
                within(message.getSentAgeMillis(), Long.MAX_VALUE),
                within(message.getReceivedAgeMillis(), Long.MAX_VALUE));
    }

    private static double rate(double perSecond) {
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new IllegalArgumentException(perSecond + " is no rate");
        }
        return perSecond;
    }

    /** Returns a figure, or refuses it; one above the range of a signed number is below 0 here. */
    private static long within(long figure, long most) {
        if (figure < 0 || figure > most) {
            throw new IllegalArgumentException(figure + " is not from 0 to " + most);
        }
        return figure;
    }

    private static SharedStoreUpdate news(PartNewsMessage message) {
        List<PartEvent> events = message.getEventsList().stream()
                .map(each -> new PartEvent(
                        new PartKey(each.getSalt(), each.getId()),
                        (int) within(each.getTokens(), Integer.MAX_VALUE),
                        each.getHeld()))
                .toList();
        OptionalLong clock =
                message.hasClockMillis() ? OptionalLong.of(message.getClockMillis()) : OptionalLong.empty();
        StoreUpdate news = new StoreUpdate(message.getIncarnation(), message.getNext(), false, events, clock);
        return new SharedStoreUpdate(
                Address.parse(message.getStore()),
                message.getSince(),
                news,
                within(message.getAgeMillis(), Long.MAX_VALUE));
    }
}
