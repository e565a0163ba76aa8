package org.rattanrudder.daemon.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rattanrudder.core.continuation.OriginHolders;
import org.rattanrudder.core.continuation.OriginMessage;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.continuation.StreamOrigins;

/**
 * Tells a few peers which software began a stream, and finds it out when a caller takes a stream up at this relay.
 *
 * <p>Messages may be lost. A stream whose origin nobody tells stays unknown and isn't continued.
 */
final class StreamOriginExchange {
    /** How many relays are told of a stream besides the one that serves it: one of them may be lost with that one. */
    static final int HOLDERS = 2;

    /** How long beginnings of streams are gathered for one message. */
    private static final long BATCH_MILLIS = 5;

    /** Beginnings of streams in one message, which then fits into one datagram. */
    private static final int MAX_TOLD = 24;

    private final RelayState state;
    private final StreamOrigins origins = new StreamOrigins();
    private final OriginHolders told = new OriginHolders(HOLDERS);
    private final OriginHolders asked = new OriginHolders(HOLDERS);
    private final Map<String, List<OriginMessage.Told>> untold = new LinkedHashMap<>();
    private final Map<StreamKey, Search> searches = new HashMap<>();
    private BiConsumer<OriginMessage, Collection<String>> sender = (message, relays) -> {};

    StreamOriginExchange(RelayState state) {
        this.state = state;
    }

    /** How the origin of a stream was found out. */
    enum Source {
        /** The stream began at this relay. */
        OWN,
        /** A peer had told it. */
        TOLD,
        /** A peer told it when it was asked. */
        ASKED,
        /** The caller doesn't name the stream, and all targets that may have begun it run the same software. */
        SOLE,
        /** Neither this relay nor a peer that answered knows the stream, or the caller doesn't name it. */
        UNKNOWN;

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * What was found out of a stream's origin.
     *
     * @param source how
     * @param origin the software that began the stream; empty if it isn't known
     * @param ageMillis for how long this relay has known it
     */
    record Finding(Source source, Optional<StreamOrigin> origin, long ageMillis) {
        /** Nobody is known to know the stream. */
        static final Finding NOTHING = new Finding(Source.UNKNOWN, Optional.empty(), 0);
    }

    /** A search among peers for the origin of one stream. */
    private static final class Search {
        private final List<Consumer<Finding>> waiting = new ArrayList<>();
        private final Set<String> unanswered;

        Search(Collection<String> relays) {
            unanswered = new LinkedHashSet<>(relays);
        }
    }

    /** Sets what sends a message to relays. */
    void setSender(BiConsumer<OriginMessage, Collection<String>> newSender) {
        sender = newSender;
    }

    /**
     * Sets the relays that hold streams.
     *
     * @param live the relays that are heard, with this one: they are told
     * @param registered all relays that may hold streams, with this one: they are asked too, since a relay that has
     *     just started has heard nobody yet
     */
    void updateRelays(Collection<String> live, Collection<String> registered) {
        told.updateRelays(live);
        asked.updateRelays(registered);
    }

    /** Returns how many streams are known. */
    int size() {
        return origins.size();
    }

    /**
     * Records which software sent the first event of a stream, and tells peers.
     *
     * @param keepMillis how long the caller may come back
     */
    void onBegun(StreamKey key, Optional<StreamOrigin> origin, long keepMillis) {
        origins.record(key, origin, StreamOrigins.Source.OWN, keepMillis, state.nowMillis());
        if (untold.isEmpty()) {
            state.loop().schedule(this::tell, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
        for (String relay : others(told.of(key))) {
            untold.computeIfAbsent(relay, unseen -> new ArrayList<>())
                    .add(new OriginMessage.Told(key, origin, keepMillis));
        }
    }

    private void tell() {
        untold.forEach((relay, all) -> {
            for (int from = 0; from < all.size(); from += MAX_TOLD) {
                List<OriginMessage.Told> batch = all.subList(from, Math.min(all.size(), from + MAX_TOLD));
                sender.accept(OriginMessage.telling(batch), Set.of(relay));
            }
        });
        untold.clear();
    }

    private Set<String> others(Collection<String> relays) {
        Set<String> others = new LinkedHashSet<>(relays);
        others.remove(state.settings().instance());
        return others;
    }

    /**
     * Finds out which software began a stream; asks peers if this relay doesn't know.
     *
     * @param patienceMillis how long to wait for peers
     * @param then called once, at once if no peer has to be asked
     */
    void find(StreamKey key, long patienceMillis, Consumer<Finding> then) {
        Optional<StreamOrigins.Known> known = origins.find(key, state.nowMillis());
        if (known.isPresent()) {
            Source source = known.get().source() == StreamOrigins.Source.OWN ? Source.OWN : Source.TOLD;
            then.accept(new Finding(source, known.get().origin(), known.get().ageMillis()));
            return;
        }
        Set<String> holders = others(told.of(key));
        holders.addAll(others(asked.of(key)));
        if (holders.isEmpty()) {
            then.accept(Finding.NOTHING);
            return;
        }
        Search search = searches.computeIfAbsent(key, unseen -> new Search(holders));
        search.waiting.add(then);
        if (search.waiting.size() == 1) {
            ask(key, search);
            state.loop().schedule(() -> ask(key, search), patienceMillis / 2, TimeUnit.MILLISECONDS);
            state.loop().schedule(() -> giveUp(key, search), patienceMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void ask(StreamKey key, Search search) {
        if (searches.get(key) == search) {
            sender.accept(OriginMessage.asking(key), List.copyOf(search.unanswered));
        }
    }

    private void giveUp(StreamKey key, Search search) {
        if (searches.get(key) == search) {
            complete(key, Finding.NOTHING);
        }
    }

    private void complete(StreamKey key, Finding found) {
        Search search = searches.remove(key);
        if (search != null) {
            search.waiting.forEach(each -> each.accept(found));
        }
    }

    /**
     * Handles a message of a peer.
     *
     * @param relays the names of the peer; an address that is used again has that of its former relay too
     */
    void onMessage(Set<String> relays, OriginMessage message) {
        message.told().forEach(this::onTold);
        message.unknown().forEach(key -> onUnknown(relays, key));
        if (!message.asked().isEmpty()) {
            relays.stream().findFirst().ifPresent(relay -> answer(relay, message.asked()));
        }
    }

    private void onTold(OriginMessage.Told each) {
        long now = state.nowMillis();
        origins.record(each.key(), each.origin(), StreamOrigins.Source.TOLD, each.keepMillis(), now);
        origins.find(each.key(), now)
                .ifPresent(known -> complete(each.key(), new Finding(Source.ASKED, known.origin(), known.ageMillis())));
    }

    private void onUnknown(Set<String> relays, StreamKey key) {
        Search search = searches.get(key);
        if (search != null && search.unanswered.removeAll(relays) && search.unanswered.isEmpty()) {
            complete(key, Finding.NOTHING);
        }
    }

    private void answer(String relay, List<StreamKey> wanted) {
        long now = state.nowMillis();
        List<OriginMessage.Told> known = new ArrayList<>();
        List<StreamKey> unknown = new ArrayList<>();
        for (StreamKey key : wanted) {
            origins.find(key, now)
                    .ifPresentOrElse(
                            found -> known.add(new OriginMessage.Told(key, found.origin(), found.keptMillis())),
                            () -> unknown.add(key));
        }
        sender.accept(new OriginMessage(known, List.of(), unknown), Set.of(relay));
    }
}
