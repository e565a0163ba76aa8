package org.rattanrudder.core.routing;

import java.util.List;

/**
 * Orders targets for a key by rendezvous hashing (highest random weight), so that every entry gets the same order.
 *
 * <p>Targets are divided into groups by a hash of their names; the number of groups is about the square root of the
 * number of targets. A key first selects a group, weighted by its size, and then ranks the targets in it, so that a
 * decision among 10,000 targets computes only about 200 hashes. Adding or removing a target moves its own keys and the
 * few that follow the changed weight of its group, except where the number of groups, a power of two, changes and all
 * groups are formed anew.
 */
final class RendezvousOrder {
    private static final int MAX_UNGROUPED_TARGETS = 256;
    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;
    private static final int FRACTION_SHIFT = 11;

    private final RoutableTarget[][] groups;

    RendezvousOrder(List<RoutableTarget> targets) {
        int count = targets.size() <= MAX_UNGROUPED_TARGETS ? 1 : groupCount(targets.size());
        groups = new RoutableTarget[count][];
        for (int group = 0; group < count; group++) {
            int wanted = group;
            groups[group] = targets.stream()
                    .filter(target -> groupOf(target, count) == wanted)
                    .toArray(RoutableTarget[]::new);
        }
    }

    private static int groupCount(int targets) {
        return Integer.highestOneBit((int) Math.sqrt(targets) * 3 / 2);
    }

    private static int groupOf(RoutableTarget target, int count) {
        return (int) Long.remainderUnsigned(target.nameHash(), count);
    }

    /** Returns a walk over all targets in the order of the key, the most preferred first. */
    Walk walk(long key) {
        return new Walk(key);
    }

    /** An iteration over the targets in the order of one key. */
    final class Walk {
        private final long key;
        private double lastGroupScore = Double.POSITIVE_INFINITY;
        private RoutableTarget[] group;
        private long lastScore;
        private int remaining;

        private Walk(long key) {
            this.key = key;
        }

        /** Returns the next target; null after the last. */
        RoutableTarget next() {
            while (remaining == 0) {
                if (!nextGroup()) {
                    return null;
                }
            }
            RoutableTarget best = null;
            long bestScore = 0;
            for (RoutableTarget target : group) {
                long score = Hashing.combine(key, target.nameHash());
                boolean notVisited = remaining == group.length || Long.compareUnsigned(score, lastScore) < 0;
                if (notVisited && (best == null || Long.compareUnsigned(score, bestScore) > 0)) {
                    best = target;
                    bestScore = score;
                }
            }
            remaining = best == null ? 0 : remaining - 1;
            lastScore = bestScore;
            return best == null ? next() : best;
        }

        private boolean nextGroup() {
            double bestScore = Double.NEGATIVE_INFINITY;
            RoutableTarget[] best = null;
            for (int index = 0; index < groups.length; index++) {
                double score = groupScore(index);
                if (groups[index].length > 0 && score < lastGroupScore && score > bestScore) {
                    best = groups[index];
                    bestScore = score;
                }
            }
            group = best;
            lastGroupScore = bestScore;
            remaining = best == null ? 0 : best.length;
            return best != null;
        }

        /** Weighted rendezvous hashing: a group's probability of being first is proportional to its size. */
        private double groupScore(int index) {
            if (groups.length == 1) {
                return 0;
            }
            double uniform = ((Hashing.combine(key, ~(long) index) >>> FRACTION_SHIFT) + 0.5) * UNIT_INTERVAL_SCALE;
            return -groups[index].length / Math.log(uniform);
        }
    }
}
