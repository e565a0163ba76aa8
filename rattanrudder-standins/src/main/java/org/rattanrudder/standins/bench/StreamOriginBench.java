package org.rattanrudder.standins.bench;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.rattanrudder.core.continuation.OriginExchange;
import org.rattanrudder.core.continuation.OriginMessage;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.wire.peer.PeerCodec;

/** Compares ways in which relays may learn what began a stream: their cost, and the share of streams that goes on. */
public final class StreamOriginBench {
    private static final long SEED = 49;
    private static final int STREAMS = 4_000;

    /** Every so many streams, one is resumed by its caller at another relay. */
    private static final int RESUMED_EVERY = 20;

    private static final long KEPT_MILLIS = 4_000;
    private static final long STEP_MILLIS = 1;
    private static final int ALL = 1_000;
    private static final Optional<StreamOrigin> ORIGIN = Optional.of(new StreamOrigin("verdict-llm", "v1.2"));

    private StreamOriginBench() {}

    /**
     * A way to learn what began a stream.
     *
     * @param name for the table
     * @param told how many relays are told of each stream
     * @param asked how many are asked for one
     */
    private record Way(String name, int told, int asked) {}

    /**
     * What fails.
     *
     * @param name for the table
     * @param loss the share of datagrams that are lost
     * @param beginnerDies whether the relay that began a stream has lost its memory when the caller comes back
     * @param restarted the share of relays that have lost theirs
     */
    private record Failure(String name, double loss, boolean beginnerDies, double restarted) {}

    private static final List<Way> WAYS = List.of(
            new Way("nothing told or asked", 0, 0),
            new Way("all asked", 0, ALL),
            new Way("1 told and asked", 1, 1),
            new Way("2 told and asked", 2, 2),
            new Way("3 told and asked", 3, 3),
            new Way("all told", ALL, 0));

    private static final List<Failure> FAILURES = List.of(
            new Failure("none", 0, false, 0),
            new Failure("1 in 20 lost", 0.05, false, 0),
            new Failure("1 in 5 lost", 0.2, false, 0),
            new Failure("beginner died", 0, true, 0),
            new Failure("died, 1 in 5 lost", 0.2, true, 0),
            new Failure("a third restarted", 0, false, 1.0 / 3));

    /** A network of relays that counts what it carries. */
    private static final class Network {
        private final SplittableRandom random = new SplittableRandom(SEED);
        private final Way way;
        private final Failure failure;
        private final OriginExchange[] relays;
        private final Set<String> names = new HashSet<>();
        private long datagrams;
        private long bytes;
        private long now;
        private int known;

        Network(Way way, Failure failure, int count) {
            this.way = way;
            this.failure = failure;
            relays = new OriginExchange[count];
            for (int relay = 0; relay < count; relay++) {
                names.add(name(relay));
            }
            for (int relay = 0; relay < count; relay++) {
                start(relay);
            }
        }

        private static String name(int relay) {
            return Integer.toString(relay);
        }

        private void start(int relay) {
            relays[relay] = new OriginExchange(
                    name(relay), way.told(), way.asked(), (message, to) -> send(name(relay), message, to));
            relays[relay].updateRelays(names, names);
        }

        private void send(String from, OriginMessage message, Collection<String> to) {
            for (String relay : to) {
                byte[] datagram = PeerCodec.write(message);
                datagrams++;
                bytes += datagram.length;
                if (random.nextDouble() >= failure.loss()) {
                    PeerCodec.read(datagram)
                            .ifPresent(read -> relays[Integer.parseInt(relay)].onMessage(
                                    Set.of(from), ((PeerCodec.Message.Origins) read).origins(), now));
                }
            }
        }

        int begin(int stream) {
            now += STEP_MILLIS;
            int relay = random.nextInt(relays.length);
            relays[relay].onBegun(key(stream), ORIGIN, KEPT_MILLIS, now);
            relays[relay].tell();
            return relay;
        }

        private static StreamKey key(int stream) {
            return StreamKey.of("customer", "request-" + stream);
        }

        void resume(int stream, int beginner) {
            if (failure.beginnerDies()) {
                start(beginner);
            }
            for (int relay = 0; relay < relays.length; relay++) {
                if (random.nextDouble() < failure.restarted()) {
                    start(relay);
                }
            }
            int relay = (beginner + 1 + random.nextInt(relays.length - 1)) % relays.length;
            OriginExchange asked = relays[relay];
            asked.find(key(stream), now, found -> known += found.origin().isPresent() ? 1 : 0)
                    .ifPresent(search -> {
                        asked.askAgain(search);
                        asked.giveUp(search);
                    });
        }
    }

    /** Prints the tables. */
    public static void main(String[] arguments) {
        for (int relays : List.of(6, 33, 300)) {
            System.out.println(
                    relays + " relays | datagrams, bytes a stream | us a stream | datagrams, bytes a resumption");
            WAYS.forEach(way -> printCost(way, relays));
        }
        for (int relays : List.of(6, 33, 300)) {
            System.out.println(relays + " relays, share of resumed streams that go on | "
                    + String.join(" | ", FAILURES.stream().map(Failure::name).toList()));
            WAYS.forEach(way -> printShares(way, relays));
        }
    }

    private static void printCost(Way way, int relays) {
        run(way, relays);
        Network network = new Network(way, FAILURES.get(0), relays);
        int[] beginners = new int[STREAMS];
        long began = System.nanoTime();
        for (int stream = 0; stream < STREAMS; stream++) {
            beginners[stream] = network.begin(stream);
        }
        double micros = (System.nanoTime() - began) / 1e3 / STREAMS;
        double datagrams = (double) network.datagrams / STREAMS;
        double bytes = (double) network.bytes / STREAMS;
        network.datagrams = 0;
        network.bytes = 0;
        int resumed = STREAMS / RESUMED_EVERY;
        for (int each = 0; each < resumed; each++) {
            int stream = STREAMS - 1 - each;
            network.resume(stream, beginners[stream]);
        }
        System.out.printf(
                Locale.ROOT,
                "%s | %.2f, %.0f | %.1f | %.2f, %.0f%n",
                way.name(),
                datagrams,
                bytes,
                micros,
                (double) network.datagrams / resumed,
                (double) network.bytes / resumed);
    }

    /** Warms up what is timed. */
    private static void run(Way way, int relays) {
        Network network = new Network(way, FAILURES.get(0), relays);
        for (int stream = 0; stream < STREAMS; stream++) {
            network.begin(stream);
        }
    }

    private static void printShares(Way way, int relays) {
        StringBuilder row = new StringBuilder(way.name());
        for (Failure failure : FAILURES) {
            Network network = new Network(way, failure, relays);
            int resumed = 0;
            for (int stream = 0; stream < STREAMS; stream++) {
                int beginner = network.begin(stream);
                if (stream % RESUMED_EVERY == 0) {
                    resumed++;
                    network.resume(stream, beginner);
                }
            }
            row.append(String.format(Locale.ROOT, " | %.3f", (double) network.known / resumed));
        }
        System.out.println(row);
    }
}
