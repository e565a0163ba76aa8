package org.rattanrudder.standins.model;

/**
 * A way in which relays decide, by what is compared.
 *
 * @param name names it in tables
 * @param wholeEveryMillis the time between two messages with all of a relay's work
 * @param farEvery relays of other failure domains get each so-manieth of them
 * @param atOnce whether a placement is told at once
 * @param countPlaced whether a request counts while its connection opens
 * @param ownOrder whether each relay has an order of its own among engines
 * @param lateShare how long a late request waits in line, as a multiple of the objective
 */
public record ModelPolicy(
        String name,
        long wholeEveryMillis,
        int farEvery,
        boolean atOnce,
        boolean countPlaced,
        boolean ownOrder,
        double lateShare) {
    /** What a relay does now. */
    public static ModelPolicy now() {
        return new ModelPolicy("now", 100, 4, true, true, true, 2);
    }

    ModelPolicy named(String newName) {
        return new ModelPolicy(newName, wholeEveryMillis, farEvery, atOnce, countPlaced, ownOrder, lateShare);
    }

    ModelPolicy tellingAtOnce(boolean newAtOnce) {
        return new ModelPolicy(name, wholeEveryMillis, farEvery, newAtOnce, countPlaced, ownOrder, lateShare);
    }

    ModelPolicy countingPlaced(boolean newCountPlaced) {
        return new ModelPolicy(name, wholeEveryMillis, farEvery, atOnce, newCountPlaced, ownOrder, lateShare);
    }

    ModelPolicy withOwnOrder(boolean newOwnOrder) {
        return new ModelPolicy(name, wholeEveryMillis, farEvery, atOnce, countPlaced, newOwnOrder, lateShare);
    }

    ModelPolicy lateFor(double newLateShare) {
        return new ModelPolicy(name, wholeEveryMillis, farEvery, atOnce, countPlaced, ownOrder, newLateShare);
    }

    ModelPolicy messages(long newEveryMillis, int newFarEvery) {
        return new ModelPolicy(name, newEveryMillis, newFarEvery, atOnce, countPlaced, ownOrder, lateShare);
    }
}
