package org.rattanrudder.standins.model;

/**
 * A way in which relays decide, by what is compared.
 *
 * @param name names it in tables
 * @param wholeEveryMillis the time between two messages with all of a relay's work
 * @param farEvery relays of other failure domains get each so-manieth of them
 * @param atOnce whether a placement is told at once
 * @param atOnceFar whether relays of other failure domains are told at once, too
 * @param endsToo whether what has begun or ended is told soon as well
 * @param countPlaced whether a request counts while its connection opens
 * @param ownOrder whether each relay has an order of its own among engines
 * @param heldShare how long a request waits in line to be on time, as a part of the objective
 * @param lateShare how long a late request waits in line, as a multiple of the objective
 */
public record ModelPolicy(
        String name,
        long wholeEveryMillis,
        int farEvery,
        boolean atOnce,
        boolean atOnceFar,
        boolean endsToo,
        boolean countPlaced,
        boolean ownOrder,
        double heldShare,
        double lateShare) {
    /** What a relay does now. */
    public static ModelPolicy now() {
        return new ModelPolicy("now", 400, 1, true, true, false, true, true, 0.5, 2);
    }

    ModelPolicy named(String newName) {
        return new ModelPolicy(
                newName,
                wholeEveryMillis,
                farEvery,
                atOnce,
                atOnceFar,
                endsToo,
                countPlaced,
                ownOrder,
                heldShare,
                lateShare);
    }

    ModelPolicy tellingAtOnce(boolean newAtOnce) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                newAtOnce,
                atOnceFar,
                endsToo,
                countPlaced,
                ownOrder,
                heldShare,
                lateShare);
    }

    ModelPolicy tellingFar(boolean newAtOnceFar) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                atOnce,
                newAtOnceFar,
                endsToo,
                countPlaced,
                ownOrder,
                heldShare,
                lateShare);
    }

    ModelPolicy tellingEnds(boolean newEndsToo) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                atOnce,
                atOnceFar,
                newEndsToo,
                countPlaced,
                ownOrder,
                heldShare,
                lateShare);
    }

    ModelPolicy countingPlaced(boolean newCountPlaced) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                atOnce,
                atOnceFar,
                endsToo,
                newCountPlaced,
                ownOrder,
                heldShare,
                lateShare);
    }

    ModelPolicy withOwnOrder(boolean newOwnOrder) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                atOnce,
                atOnceFar,
                endsToo,
                countPlaced,
                newOwnOrder,
                heldShare,
                lateShare);
    }

    ModelPolicy heldFor(double newHeldShare) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                atOnce,
                atOnceFar,
                endsToo,
                countPlaced,
                ownOrder,
                newHeldShare,
                lateShare);
    }

    ModelPolicy lateFor(double newLateShare) {
        return new ModelPolicy(
                name,
                wholeEveryMillis,
                farEvery,
                atOnce,
                atOnceFar,
                endsToo,
                countPlaced,
                ownOrder,
                heldShare,
                newLateShare);
    }

    ModelPolicy messages(long newEveryMillis, int newFarEvery) {
        return new ModelPolicy(
                name,
                newEveryMillis,
                newFarEvery,
                atOnce,
                atOnceFar,
                endsToo,
                countPlaced,
                ownOrder,
                heldShare,
                lateShare);
    }
}
