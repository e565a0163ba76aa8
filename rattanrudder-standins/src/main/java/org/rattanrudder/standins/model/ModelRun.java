package org.rattanrudder.standins.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** One day with one way of deciding and one seed; the same again gives the same report. */
final class ModelRun {
    private static final String RANDOM = "L64X128MixRandom";
    private static final long SECOND_MICROS = 1_000_000;
    private static final double SECOND_MILLIS = 1_000;

    /** Time after the last arrival in which requests may end. */
    private static final double TAIL_SECONDS = 5;

    /** What a store's news take to reach all relays, in ms. */
    private static final long NEWS_MILLIS = 350;

    private static final double LEAST_RETRY_MILLIS = 300;
    private static final double RETRY_SPREAD_MILLIS = 700;

    private final VirtualTime time = new VirtualTime();
    private final ModelDay day;
    private final RandomGenerator random;
    private final ModelStore store;
    private final ModelTally tally = new ModelTally();
    private final Map<String, ModelEngine> engines = new LinkedHashMap<>();
    private final List<ModelRelay> relays = new ArrayList<>();
    private final List<ModelRequest> requests = new ArrayList<>();

    private ModelRun(ModelDay day, ModelPolicy policy, long seed) {
        this.day = day;
        random = RandomGeneratorFactory.of(RANDOM).create(seed);
        store = new ModelStore(NEWS_MILLIS, day.stores().count(), day.stores().tokensPerMilli());
        Set<String> everRead = new HashSet<>();
        for (int index = 0; index < day.engines(); index++) {
            engines.put("engine-" + index, new ModelEngine(time, day.costs().engine(), store, day.queue(), everRead));
        }
        for (int index = 0; index < day.relays(); index++) {
            relays.add(new ModelRelay(time, "relay-" + index, domain(index), policy, day, engines, store, tally));
        }
    }

    /** Plays a day. */
    static ModelReport play(ModelDay day, ModelPolicy policy, long seed) {
        return new ModelRun(day, policy, seed).play();
    }

    private ModelReport play() {
        introduce();
        long dark = Math.round(day.engines() * day.dark().share());
        List<ModelEngine> losing = engines.values().stream().limit(dark).toList();
        time.afterMillis(day.dark().atSeconds() * SECOND_MILLIS, () -> losing.forEach(engine -> engine.power(false)));
        time.afterMillis(
                (day.dark().atSeconds() + day.dark().forSeconds()) * SECOND_MILLIS,
                () -> losing.forEach(engine -> engine.power(true)));
        limitEngines(day.limited());
        restEngines(day.resting());
        day.classes().forEach(kind -> new Arrivals(kind).next());
        time.runUntil(Math.round((day.seconds() + TAIL_SECONDS) * SECOND_MICROS));
        return ModelReport.of(requests, engines.values(), tally);
    }

    private void limitEngines(ModelDay.Limited limited) {
        List<ModelEngine> naming = last(limited.share());
        OptionalDouble limit = OptionalDouble.of(limited.requestsPerSecond());
        time.afterMillis(limited.atSeconds() * SECOND_MILLIS, () -> naming.forEach(engine -> engine.nameLimit(limit)));
        time.afterMillis(
                (limited.atSeconds() + limited.forSeconds()) * SECOND_MILLIS,
                () -> naming.forEach(engine -> engine.nameLimit(OptionalDouble.empty())));
    }

    private void restEngines(ModelDay.Resting resting) {
        List<ModelEngine> turningAway = last(resting.share());
        OptionalLong rest = OptionalLong.of(Math.round(resting.restSeconds() * SECOND_MILLIS));
        time.afterMillis(
                resting.atSeconds() * SECOND_MILLIS, () -> turningAway.forEach(engine -> engine.askForRest(rest)));
        time.afterMillis(
                (resting.atSeconds() + resting.forSeconds()) * SECOND_MILLIS,
                () -> turningAway.forEach(engine -> engine.askForRest(OptionalLong.empty())));
    }

    private List<ModelEngine> last(double share) {
        long others = day.engines() - Math.round(day.engines() * share);
        return engines.values().stream().skip(others).toList();
    }

    private void introduce() {
        for (ModelRelay relay : relays) {
            int index = 0;
            for (String engine : engines.keySet()) {
                relay.knows(engine, domain(index), index);
                index++;
            }
            List<ModelRelay> others = new ArrayList<>(relays);
            others.remove(relay);
            relay.start(others, random.nextDouble() * 100);
        }
    }

    private String domain(int index) {
        return "domain-" + index % day.failureDomains();
    }

    /** The requests of one kind. */
    private final class Arrivals {
        private final ModelDay.Kind kind;
        private final List<ModelPart> roots;
        private final List<ModelPart> contexts;

        Arrivals(ModelDay.Kind kind) {
            this.kind = kind;
            roots = parts("root", kind.roots());
            contexts = parts("context", kind.contexts());
        }

        private List<ModelPart> parts(String what, ModelDay.Shared shared) {
            List<ModelPart> parts = new ArrayList<>();
            for (int index = 0; index < shared.count(); index++) {
                parts.add(new ModelPart(kind.name() + "-" + what + "-" + index, size(shared.tokens())));
            }
            return parts;
        }

        private int size(int mean) {
            double spread = kind.spread();
            return (int) Math.max(1, mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2));
        }

        void next() {
            double gap = -Math.log(1 - random.nextDouble()) * SECOND_MILLIS / kind.perSecond();
            time.afterMillis(gap, this::arrive);
        }

        private void arrive() {
            if (time.micros() > day.seconds() * SECOND_MICROS) {
                return;
            }
            int context = random.nextInt(contexts.size());
            ModelRequest request = new ModelRequest(
                    kind,
                    roots.get(context % roots.size()),
                    contexts.get(context),
                    size(kind.ownTokens()),
                    size(kind.outputTokens()),
                    time.millis(),
                    this::again);
            requests.add(request);
            offer(request);
            next();
        }

        private void offer(ModelRequest request) {
            relays.get(random.nextInt(relays.size())).take(request);
        }

        /** A caller comes back once after a refusal. */
        private void again(ModelRequest request) {
            double wait = LEAST_RETRY_MILLIS + RETRY_SPREAD_MILLIS * random.nextDouble();
            if (request.refusals() == 1 && time.millis() + wait < request.deadlineAt()) {
                time.afterMillis(wait, () -> offer(request));
            }
        }
    }
}
