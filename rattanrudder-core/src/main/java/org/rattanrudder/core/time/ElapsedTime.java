package org.rattanrudder.core.time;

import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.time.ClockDisturbance.Kind;

/**
 * The shortest and the longest time that may have passed, by clocks that may stand still or jump.
 *
 * <p>The monotonic clock doesn't count the time for which a machine is suspended. The time of day does, but it may also
 * jump either way. A third clock that counts suspensions may exist, which {@link BootClockTrust} believes or not. All
 * that the others count more than the monotonic clock is a surplus here: certain if both show it, possible if the time
 * of day shows it alone, none if the third clock contradicts the time of day.
 *
 * <p>The longest time follows the time of day from the first millisecond on, so that many short suspensions add up. A
 * time of day that falls behind by less than the tolerance isn't noticed, and hides as much of a later suspension.
 */
public final class ElapsedTime {
    /** By how much clocks may differ that agree: the third one may count in hundredths of a second. */
    public static final long TOLERANCE_MILLIS = 30;

    private final BootClockTrust trust = new BootClockTrust();
    private long timeOfDayAnchor;
    private OptionalLong bootAnchor;
    private long certainSurplus;
    private long possibleSurplus;

    /** The largest lead of the time of day since the anchor, which the longest time counts already. */
    private long followed;

    /**
     * Starts to count.
     *
     * @param bootMillis the clock that counts suspensions; empty if it can't be read
     */
    public ElapsedTime(long monotonicMillis, long timeOfDayMillis, OptionalLong bootMillis) {
        timeOfDayAnchor = timeOfDayMillis - monotonicMillis;
        bootAnchor = OptionalLong.empty();
        anchorBoot(monotonicMillis, bootMillis);
    }

    /** Returns whether readings of two clocks show nothing that isn't counted yet. */
    public boolean isCounted(long monotonicMillis, long timeOfDayMillis) {
        long lead = timeOfDayLead(monotonicMillis, timeOfDayMillis);
        return lead <= followed && lead >= -TOLERANCE_MILLIS;
    }

    /** Returns whether the time of day has left the monotonic clock by so much that all clocks must be read. */
    public boolean isDisturbed(long monotonicMillis, long timeOfDayMillis) {
        return Math.abs(timeOfDayLead(monotonicMillis, timeOfDayMillis)) > TOLERANCE_MILLIS;
    }

    /** Handles readings of two clocks: the longest time follows the time of day. */
    public void follow(long monotonicMillis, long timeOfDayMillis) {
        followed = Math.max(followed, timeOfDayLead(monotonicMillis, timeOfDayMillis));
    }

    /**
     * Handles readings of all clocks, taken at one moment. Due now and then, and whenever the clocks are disturbed.
     *
     * @param bootMillis the clock that counts suspensions; empty if it can't be read
     * @return what is concluded if clocks disagree
     */
    public Optional<ClockDisturbance> onReading(long monotonicMillis, long timeOfDayMillis, OptionalLong bootMillis) {
        long timeOfDay = timeOfDayLead(monotonicMillis, timeOfDayMillis);
        OptionalLong boot = bootLead(monotonicMillis, bootMillis);
        Optional<ClockDisturbance> disturbance = conclude(monotonicMillis, timeOfDay, boot);
        boolean agreed = boot.isPresent() && isNear(boot.getAsLong(), timeOfDay);
        boolean denied = boot.isPresent() && isNear(boot.getAsLong(), 0);
        if (agreed || denied) {
            trust.onInStep(monotonicMillis);
        } else {
            trust.onOutOfStep(monotonicMillis);
            anchorBoot(monotonicMillis, bootMillis);
        }
        if (disturbance.isPresent()) {
            count(disturbance.get());
            timeOfDayAnchor = timeOfDayMillis - monotonicMillis;
            anchorBoot(monotonicMillis, bootMillis);
        } else {
            follow(monotonicMillis, timeOfDayMillis);
        }
        return disturbance;
    }

    private Optional<ClockDisturbance> conclude(long monotonicMillis, long timeOfDay, OptionalLong boot) {
        if (boot.isPresent() && trust.mayConfirm(monotonicMillis) && isSuspension(timeOfDay, boot.getAsLong())) {
            long longest = Math.max(boot.getAsLong(), timeOfDay);
            return Optional.of(new ClockDisturbance(Kind.SUSPENDED, timeOfDay, boot, boot.getAsLong(), longest));
        }
        if (boot.isPresent() && trust.mayContradict(monotonicMillis)) {
            return contradict(timeOfDay, boot.getAsLong());
        }
        if (isNear(timeOfDay, 0)) {
            return Optional.empty();
        }
        Kind kind = timeOfDay > 0 ? Kind.UNDECIDED : Kind.TIME_OF_DAY_JUMPED;
        return Optional.of(new ClockDisturbance(kind, timeOfDay, boot, 0, Math.max(0, timeOfDay)));
    }

    private static boolean isSuspension(long timeOfDay, long boot) {
        return boot > TOLERANCE_MILLIS && isNear(boot, timeOfDay);
    }

    private static Optional<ClockDisturbance> contradict(long timeOfDay, long boot) {
        if (!isNear(boot, 0)) {
            long possible = Math.max(0, Math.max(boot, timeOfDay));
            return Optional.of(new ClockDisturbance(Kind.DISPUTED, timeOfDay, OptionalLong.of(boot), 0, possible));
        }
        return isNear(timeOfDay, 0)
                ? Optional.empty()
                : Optional.of(new ClockDisturbance(Kind.TIME_OF_DAY_JUMPED, timeOfDay, OptionalLong.of(boot), 0, 0));
    }

    private void count(ClockDisturbance disturbance) {
        certainSurplus += disturbance.atLeastMillis();
        possibleSurplus += Math.max(followed, disturbance.atMostMillis());
        followed = 0;
    }

    private void anchorBoot(long monotonicMillis, OptionalLong bootMillis) {
        bootAnchor = bootMillis.isPresent()
                ? OptionalLong.of(bootMillis.getAsLong() - monotonicMillis)
                : OptionalLong.empty();
    }

    private long timeOfDayLead(long monotonicMillis, long timeOfDayMillis) {
        return timeOfDayMillis - monotonicMillis - timeOfDayAnchor;
    }

    private OptionalLong bootLead(long monotonicMillis, OptionalLong bootMillis) {
        return bootMillis.isPresent() && bootAnchor.isPresent()
                ? OptionalLong.of(bootMillis.getAsLong() - monotonicMillis - bootAnchor.getAsLong())
                : OptionalLong.empty();
    }

    private static boolean isNear(long one, long other) {
        return Math.abs(one - other) <= TOLERANCE_MILLIS;
    }

    /** Returns the suspended time that has passed for certain, in ms. */
    public long certainSurplusMillis() {
        return certainSurplus;
    }

    /** Returns the suspended time that may have passed, in ms. */
    public long possibleSurplusMillis() {
        return possibleSurplus + followed;
    }

    /** Returns whether the clock that counts suspensions is believed against the time of day. */
    public boolean isBootClockBelieved(long monotonicMillis) {
        return trust.mayContradict(monotonicMillis);
    }
}
