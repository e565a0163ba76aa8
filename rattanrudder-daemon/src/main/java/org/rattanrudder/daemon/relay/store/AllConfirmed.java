package org.rattanrudder.daemon.relay.store;

import java.util.function.Consumer;

/** Passes on whether each of several topics was confirmed, once all have been answered. */
final class AllConfirmed implements Consumer<Boolean> {
    private final Consumer<Boolean> then;
    private int missing;
    private boolean confirmed = true;

    /**
     * Creates a collector that has no answer.
     *
     * @param count how many answers there will be
     * @param then called once
     */
    AllConfirmed(int count, Consumer<Boolean> then) {
        missing = count;
        this.then = then;
    }

    @Override
    public void accept(Boolean answer) {
        confirmed &= answer;
        missing--;
        if (missing == 0) {
            then.accept(confirmed);
        }
    }
}
