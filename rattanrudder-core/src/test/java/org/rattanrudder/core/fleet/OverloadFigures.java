package org.rattanrudder.core.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.rattanrudder.core.fleet.OverloadPlay.Call;

/** What callers get in an {@link OverloadPlay}. */
record OverloadFigures(List<Call> calls) {
    /** Size groups by tokens; the last one, above the last bound, is the long tail. */
    private static final int[] SIZE_BOUNDS = {500, 1_500, 5_000};

    OverloadFigures only(Predicate<Call> matches) {
        return new OverloadFigures(calls.stream().filter(matches).toList());
    }

    double onTime() {
        return share(Call::onTime);
    }

    double served() {
        return share(call -> call.served);
    }

    private double share(Predicate<Call> matches) {
        return calls.isEmpty() ? 0 : calls.stream().filter(matches).count() / (double) calls.size();
    }

    OverloadFigures ofPriority(int priority) {
        return only(call -> call.priority == priority);
    }

    /** Returns the share served of each customer that waits as it is told, the largest first. */
    double[] servedByPatientCustomer() {
        return IntStream.range(0, OverloadPlay.CUSTOMERS)
                .mapToObj(customer -> only(call -> call.customer == customer))
                .filter(own -> own.calls.stream().noneMatch(Call::isHasty))
                .mapToDouble(OverloadFigures::served)
                .toArray();
    }

    double[] servedBySize() {
        double[] shares = new double[SIZE_BOUNDS.length + 1];
        Arrays.setAll(shares, group -> only(call -> sizeGroup(call) == group).served());
        return shares;
    }

    private static int sizeGroup(Call call) {
        int found = Arrays.binarySearch(SIZE_BOUNDS, call.tokens);
        return found < 0 ? -found - 1 : found + 1;
    }

    /** Returns a quantile of the time from a call's begin until it was rejected for the last time, in ms. */
    long waitOfRejected(double quantile) {
        long[] waits = calls.stream()
                .filter(call -> !call.served)
                .mapToLong(call -> call.endedAt - call.begunAt)
                .sorted()
                .toArray();
        return waits.length == 0 ? 0 : waits[(int) (quantile * (waits.length - 1))];
    }
}
