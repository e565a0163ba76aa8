package org.rattanrudder.core.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.core.memory.UploadLine;

/**
 * Weighs two ways to bound the memory of large bodies, in a model with the same seeds: keeping bodies within a budget,
 * and passing each on as it comes, which holds a place at a target until its slow caller has sent all.
 *
 * <p>Some callers stall and some leave. A kept body waits for a place once it is whole; one that would be passed on is
 * rejected while all places are taken.
 */
public final class UploadPolicyBench {
    private static final int SEEDS = 60;
    private static final long BUDGET_BYTES = 46_000_000;
    private static final long PIECE_BYTES = 64_000;
    private static final long MAX_BODY_BYTES = 4_000_000;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long WORK_MILLIS = 150;
    private static final long END_MILLIS = 60_000;
    private static final int STEP_MILLIS = 10;
    private static final double STALLS = 0.05;
    private static final double LEAVES = 0.05;

    private UploadPolicyBench() {}

    /** An upload and what becomes of it. */
    private static final class Upload {
        private final long arrivesAt;
        private final long bytes;
        private final double bytesPerMilli;
        private final boolean stalls;
        private final boolean leaves;
        private double received;
        private boolean reading;
        private long servedAt = -1;
        private Holding holding;

        Upload(long arrivesAt, Random random) {
            this.arrivesAt = arrivesAt;
            bytes = 100_000 + (long) (random.nextDouble() * (MAX_BODY_BYTES - 100_000));
            bytesPerMilli = 500 + random.nextInt(3_500);
            double fate = random.nextDouble();
            stalls = fate < STALLS;
            leaves = fate > 1 - LEAVES;
        }

        boolean isOver(long now) {
            return now >= arrivesAt + DEADLINE_MILLIS || leaves && received >= bytes / 2.0;
        }

        void receive() {
            double most = stalls ? bytes / 2.0 : bytes;
            received = Math.min(most, received + bytesPerMilli * STEP_MILLIS);
        }
    }

    /** What a way has achieved. */
    private static final class Score {
        private int served;
        private int rejectedAtOnce;
        private int late;
        private long peakBytes;
        private long placeMillis;
        private int runsOfPartialBodies;
        private final List<Long> smallMillis = new ArrayList<>();

        @Override
        public String toString() {
            Long[] sorted = smallMillis.toArray(new Long[0]);
            Arrays.sort(sorted);
            return String.format(
                    "served %5d, rejected at once %5d, without an answer in time %5d, most held %4.0f MB, "
                            + "places taken %6.0f s, cut at a target %4d, small requests' wait p99 %d ms",
                    served,
                    rejectedAtOnce,
                    late,
                    peakBytes / 1e6,
                    placeMillis / 1e3,
                    runsOfPartialBodies,
                    sorted[sorted.length * 99 / 100]);
        }
    }

    /** Runs both ways and prints their sums over all seeds. */
    public static void main(String[] arguments) {
        for (int places : new int[] {18, 96}) {
            for (int perSecond : new int[] {4, 16, 48}) {
                Score kept = new Score();
                Score passedOn = new Score();
                for (int seed = 0; seed < SEEDS; seed++) {
                    play(seed, places, perSecond, true, kept);
                    play(seed, places, perSecond, false, passedOn);
                }
                System.out.printf(
                        "%d places, %d uploads a second%n  kept:      %s%n  passed on: %s%n",
                        places, perSecond, kept, passedOn);
            }
        }
    }

    private static void play(int seed, int places, int perSecond, boolean keeps, Score score) {
        new Play(new Random(seed), places, perSecond, keeps, score).run();
    }

    /** One minute of uploads by one of the ways. */
    private static final class Play {
        private final int places;
        private final boolean keeps;
        private final Score score;
        private final List<Upload> coming = new ArrayList<>();
        private final List<Upload> active = new ArrayList<>();
        private final Map<Upload, Long> running = new HashMap<>();
        private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
        private final UploadLine<Upload> line = new UploadLine<>(budget);
        private long now;

        Play(Random random, int places, int perSecond, boolean keeps, Score score) {
            this.places = places;
            this.keeps = keeps;
            this.score = score;
            double at = 0;
            while (at < END_MILLIS - DEADLINE_MILLIS) {
                coming.add(new Upload((long) at, random));
                at -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            }
        }

        void run() {
            for (now = 0; now < END_MILLIS; now += STEP_MILLIS) {
                while (!coming.isEmpty() && coming.get(0).arrivesAt <= now) {
                    arrive(coming.remove(0));
                }
                UploadLine.Outcome<Upload> outcome = line.update(now);
                outcome.granted().forEach(upload -> upload.reading = true);
                score.rejectedAtOnce += outcome.rejected().size();
                active.removeAll(outcome.rejected());
                List.copyOf(active).forEach(this::advance);
                score.placeMillis += (long) running.size() * STEP_MILLIS;
                long held = keeps ? budget.held() : active.size() * 2 * PIECE_BYTES;
                score.peakBytes = Math.max(score.peakBytes, held);
                score.smallMillis.add(running.size() < places ? 0 : waitForPlace(running, now));
            }
        }

        private void arrive(Upload next) {
            if (!keeps && running.size() >= places) {
                score.rejectedAtOnce++;
                return;
            }
            active.add(next);
            if (keeps) {
                next.holding = budget.holding(ByteUse.UPLOAD, "caller");
                line.add(new UploadLine.Upload<>(next, next.holding, next.bytes, 1, now, now + DEADLINE_MILLIS));
            } else {
                next.reading = true;
                running.put(next, now);
            }
        }

        private void advance(Upload upload) {
            if (upload.reading && upload.received < upload.bytes) {
                upload.receive();
            }
            boolean whole = upload.received >= upload.bytes;
            if (whole && upload.servedAt < 0 && (running.containsKey(upload) || running.size() < places)) {
                running.putIfAbsent(upload, now);
                upload.servedAt = now + WORK_MILLIS;
            }
            boolean served = upload.servedAt >= 0 && now >= upload.servedAt;
            if (served || upload.isOver(now)) {
                end(upload, served, whole);
            }
        }

        private void end(Upload upload, boolean served, boolean whole) {
            score.served += served ? 1 : 0;
            score.late += served || upload.leaves ? 0 : 1;
            score.runsOfPartialBodies += running.remove(upload) != null && !whole ? 1 : 0;
            active.remove(upload);
            line.remove(upload);
            if (upload.holding != null) {
                if (upload.holding.bytes() > 0) {
                    line.onGivenBack(Math.max(1, now - upload.arrivesAt));
                }
                upload.holding.close();
            }
        }
    }

    /** Returns how long a small request waits that finds all places taken: until the first of them is free. */
    private static long waitForPlace(Map<Upload, Long> running, long now) {
        return running.keySet().stream()
                .mapToLong(upload -> upload.servedAt >= 0
                        ? upload.servedAt - now
                        : Math.min(
                                upload.arrivesAt + DEADLINE_MILLIS - now,
                                upload.stalls
                                        ? DEADLINE_MILLIS
                                        : (long) ((upload.bytes - upload.received) / upload.bytesPerMilli)
                                                + WORK_MILLIS))
                .min()
                .orElse(0);
    }
}
