package org.rattanrudder.core.continuation;

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
import java.util.function.Consumer;

/**
 * Tells a few peers which software began a stream, and finds it out when a caller resumes a stream at this relay.
 *
 * <p>Messages may be lost, late or come twice. A stream whose origin nobody tells stays unknown and isn't continued.
 * All times are milliseconds of a monotonic clock.
 */
public final class OriginExchange {
    /** How many relays hold each stream: one may be the one that serves it, and be lost with it. */
    public static final int HOLDERS = 2;

    /** Beginnings of streams in one message, which then fits into one datagram. */
    private static final int MAX_TOLD = 24;

    private final String self;
    private final Sender sender;
    private final StreamOrigins origins = new StreamOrigins();
    private final OriginHolders told;
    private final OriginHolders asked;
    private final Map<String, List<OriginMessage.Told>> untold = new LinkedHashMap<>();
    private final Map<StreamKey, Search> searches = new HashMap<>();

    /** Sends messages to peers. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message to relays, by their names; it may be lost. */
        void send(OriginMessage message, Collection<String> relays);
    }

    /** How the origin of a stream was found out. */
    public enum Source {
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

        /** Returns the name used in logs and metrics. */
        public String wireName() {
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
    public record Finding(Source source, Optional<StreamOrigin> origin, long ageMillis) {
        /** Nobody is known to know the stream. */
        public static final Finding NOTHING = new Finding(Source.UNKNOWN, Optional.empty(), 0);
    }

    /** A search among peers for the origin of one stream. */
    public static final class Search {
        private final StreamKey key;
        private final List<Consumer<Finding>> waiting = new ArrayList<>();
        private final Set<String> unanswered;

        private Search(StreamKey key, Collection<String> relays) {
            this.key = key;
            unanswered = new LinkedHashSet<>(relays);
        }
    }

    /**
     * Creates an exchange of a relay that knows no other.
     *
     * @param self this relay's name
     * @param toldCount how many relays are told of each stream
     * @param askedCount how many are asked for one
     */
    public OriginExchange(String self, int toldCount, int askedCount, Sender sender) {
        this.self = self;
        this.sender = sender;
        told = new OriginHolders(toldCount);
        asked = new OriginHolders(askedCount);
    }

    /**
     * Sets the relays that hold streams.
     *
     * @param live the relays that are heard, with this one: they are told
     * @param registered all relays that may hold streams, with this one: they are asked too, since a relay that has
     *     just started has heard nobody yet
     */
    public void updateRelays(Collection<String> live, Collection<String> registered) {
        told.updateRelays(live);
        asked.updateRelays(registered);
    }

    /** Returns how many streams are known. */
    public int size() {
        return origins.size();
    }

    /**
     * Records which software sent the first event of a stream; peers hear of it at the next {@link #tell}.
     *
     * @param keepMillis how long the caller may come back
     * @return whether there was nothing to tell before
     */
    public boolean onBegun(StreamKey key, Optional<StreamOrigin> origin, long keepMillis, long nowMillis) {
        boolean first = untold.isEmpty();
        origins.record(key, origin, StreamOrigins.Source.OWN, keepMillis, nowMillis);
        for (String relay : others(told.of(key))) {
            untold.computeIfAbsent(relay, unseen -> new ArrayList<>())
                    .add(new OriginMessage.Told(key, origin, keepMillis));
        }
        return first && !untold.isEmpty();
    }

    /** Tells peers what has begun since the last call. */
    public void tell() {
        untold.forEach((relay, all) -> {
            for (int from = 0; from < all.size(); from += MAX_TOLD) {
                List<OriginMessage.Told> batch = all.subList(from, Math.min(all.size(), from + MAX_TOLD));
                sender.send(OriginMessage.telling(batch), Set.of(relay));
            }
        });
        untold.clear();
    }

    private Set<String> others(Collection<String> relays) {
        Set<String> others = new LinkedHashSet<>(relays);
        others.remove(self);
        return others;
    }

    /**
     * Finds out which software began a stream; asks peers if this relay doesn't know.
     *
     * @param then called once: at once, when a peer has told it, when all have answered, or by {@link #giveUp}
     * @return a search that has begun, so that the caller repeats the question and gives up after a time
     */
    public Optional<Search> find(StreamKey key, long nowMillis, Consumer<Finding> then) {
        Optional<StreamOrigins.Known> known = origins.find(key, nowMillis);
        if (known.isPresent()) {
            Source source = known.get().source() == StreamOrigins.Source.OWN ? Source.OWN : Source.TOLD;
            then.accept(new Finding(source, known.get().origin(), known.get().ageMillis()));
            return Optional.empty();
        }
        Set<String> holders = others(told.of(key));
        holders.addAll(others(asked.of(key)));
        if (holders.isEmpty()) {
            then.accept(Finding.NOTHING);
            return Optional.empty();
        }
        Search running = searches.get(key);
        if (running != null) {
            running.waiting.add(then);
            return Optional.empty();
        }
        Search search = new Search(key, holders);
        search.waiting.add(then);
        searches.put(key, search);
        askAgain(search);
        return Optional.of(search);
    }

    /** Asks those peers that haven't answered, if the search goes on. */
    public void askAgain(Search search) {
        if (searches.get(search.key) == search) {
            sender.send(OriginMessage.asking(search.key), List.copyOf(search.unanswered));
        }
    }

    /** Ends a search if it goes on. */
    public void giveUp(Search search) {
        if (searches.get(search.key) == search) {
            complete(search.key, Finding.NOTHING);
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
    public void onMessage(Set<String> relays, OriginMessage message, long nowMillis) {
        message.told().forEach(each -> onTold(each, nowMillis));
        message.unknown().forEach(key -> onUnknown(relays, key));
        if (!message.asked().isEmpty()) {
            relays.stream().findFirst().ifPresent(relay -> answer(relay, message.asked(), nowMillis));
        }
    }

    private void onTold(OriginMessage.Told each, long nowMillis) {
        origins.record(each.key(), each.origin(), StreamOrigins.Source.TOLD, each.keepMillis(), nowMillis);
        origins.find(each.key(), nowMillis)
                .ifPresent(known -> complete(each.key(), new Finding(Source.ASKED, known.origin(), known.ageMillis())));
    }

    private void onUnknown(Set<String> relays, StreamKey key) {
        Search search = searches.get(key);
        if (search != null && search.unanswered.removeAll(relays) && search.unanswered.isEmpty()) {
            complete(key, Finding.NOTHING);
        }
    }

    private void answer(String relay, List<StreamKey> wanted, long nowMillis) {
        List<OriginMessage.Told> known = new ArrayList<>();
        List<StreamKey> unknown = new ArrayList<>();
        for (StreamKey key : wanted) {
            origins.find(key, nowMillis)
                    .ifPresentOrElse(
                            found -> known.add(new OriginMessage.Told(key, found.origin(), found.keptMillis())),
                            () -> unknown.add(key));
        }
        sender.send(new OriginMessage(known, List.of(), unknown), Set.of(relay));
    }
}
