package org.rattanrudder.standins.model;

import java.util.List;
import java.util.OptionalInt;
import java.util.function.Consumer;

/** One caller's request from its arrival to its end, with one try more if it was refused. */
final class ModelRequest {
    private final ModelDay.Kind kind;
    private final ModelPart root;
    private final ModelPart context;
    private final int ownTokens;
    private final int outputTokens;
    private final long arrivedAt;
    private final Consumer<ModelRequest> whenRefused;
    private long firstAt = -1;
    private boolean served;
    private int refusals;

    ModelRequest(
            ModelDay.Kind kind,
            ModelPart root,
            ModelPart context,
            int ownTokens,
            int outputTokens,
            long arrivedAt,
            Consumer<ModelRequest> whenRefused) {
        this.kind = kind;
        this.root = root;
        this.context = context;
        this.ownTokens = ownTokens;
        this.outputTokens = outputTokens;
        this.arrivedAt = arrivedAt;
        this.whenRefused = whenRefused;
    }

    ModelDay.Kind kind() {
        return kind;
    }

    ModelPart context() {
        return context;
    }

    List<ModelPart> shared() {
        return List.of(root, context);
    }

    int ownTokens() {
        return ownTokens;
    }

    int outputTokens() {
        return outputTokens;
    }

    int promptTokens() {
        return root.tokens() + context.tokens() + ownTokens;
    }

    /** Returns the memory that it is taken to need, as relays reckon it. */
    int tokens() {
        return promptTokens() + outputTokens / 2;
    }

    /** Returns the tokens of its prompt that no store holds. */
    int unread(ModelStore store, long nowMillis) {
        return ownTokens
                + shared().stream()
                        .filter(part -> !store.holds(part, nowMillis))
                        .mapToInt(ModelPart::tokens)
                        .sum();
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long deadlineAt() {
        return arrivedAt + kind.deadlineMillis();
    }

    void first(long nowMillis) {
        firstAt = firstAt < 0 ? nowMillis : firstAt;
    }

    void ended(OptionalInt tokensMade) {
        served = tokensMade.isPresent();
    }

    void refused() {
        refusals++;
        whenRefused.accept(this);
    }

    int refusals() {
        return refusals;
    }

    boolean isServed() {
        return served;
    }

    boolean isOnTime() {
        return served && firstAt - arrivedAt <= kind.objectiveMillis();
    }

    /** Returns the time to the first token, in ms; -1 without one. */
    long firstMillis() {
        return firstAt < 0 ? -1 : firstAt - arrivedAt;
    }
}
