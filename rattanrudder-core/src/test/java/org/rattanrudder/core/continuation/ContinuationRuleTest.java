package org.rattanrudder.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Beginnings, crashes, upgrades, relays that die and callers that return, with the users' rule as the oracle. */
class ContinuationRuleTest {
    private static final int RELAYS = 5;
    private static final int TARGETS = 4;
    private static final int STEPS = 120;
    private static final long KEPT = 4_000;

    /** A message that is under way. */
    private record Datagram(String from, String to, OriginMessage message) {}

    /** One caller's stream: what brought its first event, and the versions of all that sent events of it. */
    private static final class Stream {
        private final String firstRequest;
        private final Set<Optional<StreamOrigin>> versions = new HashSet<>();

        Stream(String firstRequest) {
            this.firstRequest = firstRequest;
        }
    }

    /** Some relays before some targets, on a network that loses, repeats and reorders. */
    private static final class World {
        private final SplittableRandom random;
        private final double loss;
        private final OriginExchange[] relays = new OriginExchange[RELAYS];
        private final int[] versions = new int[TARGETS];
        private final Deque<Datagram> underWay = new ArrayDeque<>();
        private final List<Stream> streams = new ArrayList<>();
        private long now;
        private int returned;
        private int continued;

        World(long seed, double loss) {
            random = new SplittableRandom(seed);
            this.loss = loss;
            for (int relay = 0; relay < RELAYS; relay++) {
                restart(relay);
            }
        }

        void restart(int relay) {
            String name = name(relay);
            relays[relay] = new OriginExchange(
                    name, OriginExchange.HOLDERS, OriginExchange.HOLDERS, (message, to) -> send(name, message, to));
            Set<String> all = new HashSet<>();
            for (int each = 0; each < RELAYS; each++) {
                all.add(name(each));
            }
            relays[relay].updateRelays(all, all);
        }

        private static String name(int relay) {
            return "relay-" + relay;
        }

        private void send(String from, OriginMessage message, Collection<String> to) {
            for (String relay : to) {
                int copies = random.nextDouble() < loss ? 0 : random.nextDouble() < loss ? 2 : 1;
                for (int copy = 0; copy < copies; copy++) {
                    Datagram datagram = new Datagram(from, relay, message);
                    if (random.nextDouble() < loss) {
                        underWay.addFirst(datagram);
                    } else {
                        underWay.addLast(datagram);
                    }
                }
            }
        }

        void deliver(int count) {
            for (int each = 0; each < count && !underWay.isEmpty(); each++) {
                Datagram datagram = underWay.removeFirst();
                int to = Integer.parseInt(datagram.to().substring("relay-".length()));
                relays[to].onMessage(Set.of(datagram.from()), datagram.message(), now);
            }
        }

        /** A target's software; every seventh version isn't named. */
        private Optional<StreamOrigin> software(int target) {
            return versions[target] % 7 == 6
                    ? Optional.empty()
                    : Optional.of(new StreamOrigin("llm", "v" + versions[target]));
        }

        void begin() {
            Stream stream = new Stream("r" + streams.size());
            streams.add(stream);
            int relay = random.nextInt(RELAYS);
            StreamBinding binding = new StreamBinding();
            if (serve(binding, stream)) {
                relays[relay].onBegun(StreamKey.of("", stream.firstRequest), binding.origin(), KEPT, now);
                relays[relay].tell();
            }
            // Within the response: its target crashes, and others are asked for the rest.
            for (int again = random.nextInt(3); again > 0; again--) {
                upgrade();
                serve(binding, stream);
            }
        }

        /** Sends an event by any target that may; returns whether one may. */
        private boolean serve(StreamBinding binding, Stream stream) {
            int first = random.nextInt(TARGETS);
            for (int each = 0; each < TARGETS; each++) {
                Optional<StreamOrigin> software = software((first + each) % TARGETS);
                if (binding.admits(software)) {
                    binding.onBegun(software);
                    stream.versions.add(software);
                    return true;
                }
            }
            return false;
        }

        void upgrade() {
            versions[random.nextInt(TARGETS)] = random.nextInt(8);
        }

        void comeBack(Stream stream, boolean patient) {
            returned++;
            int relay = random.nextInt(RELAYS);
            OriginExchange asked = relays[relay];
            Optional<OriginExchange.Search> search =
                    asked.find(StreamKey.of("", stream.firstRequest), now, found -> goOn(stream, found.origin()));
            if (search.isPresent()) {
                deliver(patient ? Integer.MAX_VALUE : random.nextInt(6));
                asked.askAgain(search.get());
                deliver(patient ? Integer.MAX_VALUE : random.nextInt(6));
                asked.giveUp(search.get());
            }
        }

        private void goOn(Stream stream, Optional<StreamOrigin> origin) {
            StreamBinding binding = new StreamBinding();
            binding.onBegun(origin);
            continued += origin.isPresent() ? 1 : 0;
            serve(binding, stream);
        }

        void step() {
            now += random.nextInt(400);
            switch (random.nextInt(6)) {
                case 0, 1 -> begin();
                case 2 -> upgrade();
                case 3 -> restart(random.nextInt(RELAYS));
                case 4 -> deliver(random.nextInt(10));
                default -> {
                    if (!streams.isEmpty()) {
                        comeBack(streams.get(random.nextInt(streams.size())), false);
                    }
                }
            }
        }
    }

    /** Guards against events of two versions in one stream, whatever is lost, late, repeated or forgotten. */
    @Property(tries = 400)
    void noStreamHoldsEventsOfTwoVersions(@ForAll long seed) {
        World world = new World(seed, 0.2);
        for (int step = 0; step < STEPS; step++) {
            world.step();
        }

        assertThat(world.streams).allMatch(stream -> stream.versions.size() <= 1);
    }

    /** Guards against lost streams: among relays that live and hear each other every named stream is known. */
    @Property(tries = 100)
    void relaysThatHearEachOtherKnowEachStreamThatHasAKnownBeginning(@ForAll long seed) {
        World world = new World(seed, 0);
        for (int stream = 0; stream < 20; stream++) {
            world.versions[stream % TARGETS] = stream % 6;
            world.begin();
            world.deliver(Integer.MAX_VALUE);
        }
        long known = world.streams.stream()
                .filter(stream -> !stream.versions.contains(Optional.<StreamOrigin>empty()))
                .count();

        world.streams.forEach(stream -> world.comeBack(stream, true));

        assertThat(world.continued).isEqualTo((int) known);
    }

    /** Guards against the same where the relay that began a stream has died since. */
    @Property(tries = 100)
    void theDeathOfOneRelayLosesNoStreamThatWasTold(@ForAll long seed) {
        World world = new World(seed, 0);
        for (int stream = 0; stream < 20; stream++) {
            world.versions[stream % TARGETS] = stream % 6;
            world.begin();
            world.deliver(Integer.MAX_VALUE);
        }
        world.restart(world.random.nextInt(RELAYS));
        long known = world.streams.stream()
                .filter(stream -> !stream.versions.contains(Optional.<StreamOrigin>empty()))
                .count();

        world.streams.forEach(stream -> world.comeBack(stream, true));

        assertThat(world.continued).isEqualTo((int) known);
    }
}
