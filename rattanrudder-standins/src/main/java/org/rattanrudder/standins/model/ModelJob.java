package org.rattanrudder.standins.model;

import java.util.List;
import java.util.OptionalLong;

/** One request at one engine. */
final class ModelJob {
    private final List<ModelPart> shared;
    private final int ownTokens;
    private final int outputTokens;
    private final int rank;
    private final Listener listener;
    private long number;
    private int unread;
    private int made;
    private long heldTokens;
    private boolean cancelled;

    /** Hears what becomes of a request. */
    interface Listener {
        /** A token was made; the first one tells that the prompt is read. */
        void token(int number);

        /** All tokens were made. */
        void ended();

        /** The engine doesn't take it, and may ask for rest, in ms. */
        void rejected(OptionalLong restMillis);
    }

    /**
     * Makes a request.
     *
     * @param shared the parts of its prompt that others share, in order
     * @param ownTokens the tokens of its own part
     * @param outputTokens the tokens that it makes
     * @param rank 0 first
     */
    ModelJob(List<ModelPart> shared, int ownTokens, int outputTokens, int rank, Listener listener) {
        this.shared = List.copyOf(shared);
        this.ownTokens = ownTokens;
        this.outputTokens = outputTokens;
        this.rank = rank;
        this.listener = listener;
    }

    List<ModelPart> shared() {
        return shared;
    }

    int ownTokens() {
        return ownTokens;
    }

    int rank() {
        return rank;
    }

    Listener listener() {
        return listener;
    }

    long number() {
        return number;
    }

    void number(long newNumber) {
        number = newNumber;
    }

    int unread() {
        return unread;
    }

    void unread(int tokens) {
        unread = tokens;
    }

    /** Returns the memory that it holds beside shared parts, in tokens. */
    long heldTokens() {
        return heldTokens;
    }

    void hold(long tokens) {
        heldTokens = tokens;
    }

    boolean hasBegun() {
        return made > 0;
    }

    int made() {
        return made;
    }

    /** Makes a token; returns whether it was the last. */
    boolean makeToken() {
        made++;
        listener.token(made);
        return made >= outputTokens;
    }

    void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }
}
