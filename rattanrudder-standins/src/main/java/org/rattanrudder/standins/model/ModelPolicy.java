package org.rattanrudder.standins.model;

import org.rattanrudder.core.fleet.HoldingQueue;

/**
 * A way in which relays decide, by what is compared.
 *
 * @param name names it in tables
 * @param wholeEveryMillis the time between two messages with all of a relay's work; 0 if the schedule decides
 * @param farEvery relays of other failure domains get each so-manieth of them; without meaning if the schedule decides
 * @param atOnce whether a placement is told at once
 * @param atOnceFar whether relays of other failure domains are told at once, too
 * @param sharing whether only the relays that share a target are told at once
 * @param endsToo whether what has begun or ended is told soon as well
 * @param countPlaced whether a request counts while its connection opens
 * @param ownOrder whether each relay has an order of its own among engines
 * @param heldShare how long a request waits in line to be on time, as a part of the objective
 * @param lateShare how long a late request waits in line, as a multiple of the objective
 * @param keepsLimits whether the rate limits that engines name are kept
 * @param rest what is done when engines ask for rest
 */
public record ModelPolicy(
        String name,
        long wholeEveryMillis,
        int farEvery,
        boolean atOnce,
        boolean atOnceFar,
        boolean sharing,
        boolean endsToo,
        boolean countPlaced,
        boolean ownOrder,
        double heldShare,
        double lateShare,
        boolean keepsLimits,
        RestWay rest) {
    /** What relays do when an engine asks for rest. */
    enum RestWay {
        /** Nothing but what any rejection leads to. */
        PASSED_OVER,
        /** Send nothing until it is over, then all that there is. */
        ALL_RETURN,
        /** Send nothing until it is over, then one request until that was accepted. */
        ONE_TRIES
    }

    /** Returns what a relay does now. */
    public static ModelPolicy now() {
        return new Change().named("now");
    }

    /** Begins another way: what a relay does now, but for what is changed. */
    static Change change() {
        return new Change();
    }

    /** What a relay does now, and what is changed of it. */
    static final class Change {
        private long wholeEveryMillis;
        private int farEvery = 1;
        private boolean atOnce = true;
        private boolean atOnceFar = true;
        private boolean sharing = true;
        private boolean endsToo;
        private boolean countPlaced = true;
        private boolean ownOrder = true;
        private double heldShare = HoldingQueue.ON_TIME_WAIT_RATIO;
        private double lateShare = HoldingQueue.LATE_WAIT_RATIO;
        private boolean keepsLimits = true;
        private RestWay rest = RestWay.ONE_TRIES;

        Change messages(long everyMillis, int toFarOnesEvery) {
            wholeEveryMillis = everyMillis;
            farEvery = toFarOnesEvery;
            return this;
        }

        Change nothingAtOnce() {
            atOnce = false;
            return this;
        }

        Change atOnceWithinTheDomain() {
            sharing = false;
            atOnceFar = false;
            return this;
        }

        Change allTargetsShared() {
            sharing = false;
            return this;
        }

        Change endsToo() {
            endsToo = true;
            return this;
        }

        Change countedOnceConnected() {
            countPlaced = false;
            return this;
        }

        Change withoutOwnOrder() {
            ownOrder = false;
            return this;
        }

        Change heldFor(double share) {
            heldShare = share;
            return this;
        }

        Change lateFor(double share) {
            lateShare = share;
            return this;
        }

        Change limitsPassedOver() {
            keepsLimits = false;
            return this;
        }

        Change rest(RestWay way) {
            rest = way;
            return this;
        }

        ModelPolicy named(String name) {
            return new ModelPolicy(
                    name,
                    wholeEveryMillis,
                    farEvery,
                    atOnce,
                    atOnceFar,
                    sharing,
                    endsToo,
                    countPlaced,
                    ownOrder,
                    heldShare,
                    lateShare,
                    keepsLimits,
                    rest);
        }
    }
}
