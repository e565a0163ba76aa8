package org.rattanrudder.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** The shapes of load: the deployments' own, scaled down. Each gives the same requests for the same seed. */
enum Shape {
    /** Považie's checks; from a quarter on, one context grows to 90 % of the demand, while log entries go on. */
    POVAZIE_BREAKING("palivo-llm", "fuel-ledger") {
        @Override
        void fill(Builder load) {
            for (double at = 0; at < load.seconds; at += load.gap(60)) {
                double hot = Math.min(0.9, Math.max(0, (at - load.seconds / 4) / (load.seconds / 4) * 0.9));
                boolean breaking = load.random.nextDouble() < hot;
                int context = load.skewed(60);
                load.prompt(
                        at, breaking ? 0 : context % CUSTOMERS, breaking ? "breaking" : "sheet " + context, 6_000, 400);
            }
            load.entries(20);
        }
    },
    /** Addis's long dossiers, which return after gaps longer than their stay in the engines' memory. */
    ADDIS_RETURNS("verdict-llm", "dam-status") {
        @Override
        void fill(Builder load) {
            for (double at = 0; at < load.seconds; at += load.gap(4)) {
                int dossier = load.random.nextInt(40);
                load.prompt(at, dossier % CUSTOMERS, "dossier " + dossier, 16_000, 200);
            }
            load.entries(10);
        }
    },
    /** Považie's checks at three times what the engines can compute. */
    OVERLOAD("palivo-llm", "fuel-ledger") {
        @Override
        void fill(Builder load) {
            for (double at = 0; at < load.seconds; at += load.gap(60)) {
                int context = load.random.nextInt(100_000);
                load.prompt(at, context % CUSTOMERS, "new sheet " + context, 6_000, 100);
            }
            load.entries(20);
        }
    };

    private static final int CUSTOMERS = 3;

    private final String promptService;
    private final String plainService;

    Shape(String promptService, String plainService) {
        this.promptService = promptService;
        this.plainService = plainService;
    }

    abstract void fill(Builder load);

    String promptService() {
        return promptService;
    }

    String plainService() {
        return plainService;
    }

    /** Returns the load's requests in the order in which they are due. */
    List<LoadRequest> requests(long seed, double seconds) {
        Builder load = new Builder(seed, seconds);
        fill(load);
        load.requests.sort(Comparator.comparingLong(LoadRequest::atMicros));
        return load.requests;
    }

    /** Gathers the requests of one load. */
    static final class Builder {
        private static final int ANSWER_TOKENS = 8;

        private final Random random;
        private final double seconds;
        private final List<LoadRequest> requests = new ArrayList<>();

        Builder(long seed, double seconds) {
            random = new Random(seed);
            this.seconds = seconds;
        }

        /** Returns the time to the next arrival, in seconds, of so many a second on average. */
        double gap(double perSecond) {
            return -Math.log(1 - random.nextDouble()) / perSecond;
        }

        /** Returns a number below the bound of which small ones come much more often. */
        int skewed(int bound) {
            return (int) (bound * Math.pow(random.nextDouble(), 2));
        }

        void prompt(double at, int customer, String context, int contextTokens, int questionTokens) {
            String question = PromptText.of(" question " + requests.size(), questionTokens);
            requests.add(
                    new LoadRequest((long) (at * 1e6), customer, "", context, contextTokens, question, ANSWER_TOKENS));
        }

        void entries(double perSecond) {
            for (double at = 0; at < seconds; at += gap(perSecond)) {
                String entry = "{\"entry\": " + requests.size() + "}";
                requests.add(new LoadRequest((long) (at * 1e6), random.nextInt(CUSTOMERS), "", "", 0, entry, 0));
            }
        }
    }
}
