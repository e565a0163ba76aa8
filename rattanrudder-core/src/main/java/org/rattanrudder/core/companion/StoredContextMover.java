package org.rattanrudder.core.companion;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.cache.BlockMover;
import org.rattanrudder.core.cache.ContextPrompt;
import org.rattanrudder.core.cache.ContextReady;
import org.rattanrudder.core.cache.MoverPolicy;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.TargetName;

/** Moves context between the engines and the service's stores, as {@link BlockMover} decides. */
final class StoredContextMover implements ContextMover {
    private final BlockMover mover;
    private final Map<AttemptId, Waiting> waiting = new HashMap<>();
    private final Map<TargetName, HeldTarget> engines = new HashMap<>();

    StoredContextMover(RandomGenerator random) {
        mover = new BlockMover(MoverPolicy.DEFAULT, BlockMover.MAX_CATALOG_BLOCKS, random);
    }

    @Override
    public void configured(Collection<HeldTarget> targets, Turn turn) {
        Set<TargetName> before = Set.copyOf(engines.keySet());
        engines.clear();
        for (HeldTarget target : targets) {
            if (target.isEngine()) {
                engines.put(target.name(), target);
                mover.updateTarget(target.document(), target.settings(), turn.nowMicros());
            }
        }
        before.stream().filter(name -> !engines.containsKey(name)).forEach(mover::removeTarget);
    }

    @Override
    public void queued(PromptRun run, Turn turn) {
        begin(run, turn);
    }

    @Override
    public void fetch(PromptRun run, Turn turn, Callback callback) {
        begin(run, turn);
        Waiting prompt = waiting.get(run.attempt());
        prompt.callback = callback;
        go(run.attempt(), prompt, turn);
    }

    @Override
    public void dropped(AttemptId attempt, Turn turn) {
        Waiting prompt = waiting.remove(attempt);
        if (prompt != null) {
            mover.cancel(prompt.target, attempt);
        }
    }

    @Override
    public void ended(PromptRun run, Usage usage, Turn turn) {
        // An answer that named another version than this one was broken off: see Answers.isOfAnotherVersion.
        String version = run.dispatch().weightVersion();
        HeldTarget engine = engines.get(run.target().name());
        long speed = engine == null ? 0 : engine.prefillSpeed().tokensPerSecond();
        mover.onCompleted(prompt(run, turn), version, speed, turn.nowMicros(), turn.effects());
    }

    @Override
    public void handle(CompanionEvent event, Turn turn) {
        take(mover.handle(event, turn.nowMicros(), turn.effects()), turn);
    }

    @Override
    public long fetchBytesPerSecond(TargetName target) {
        return mover.fetchBytesPerSecond(target);
    }

    private void begin(PromptRun run, Turn turn) {
        if (waiting.containsKey(run.attempt())) {
            return;
        }
        waiting.put(run.attempt(), new Waiting(run.target().name()));
        take(mover.prepare(prompt(run, turn), turn.nowMicros(), turn.effects()), turn);
    }

    private void take(List<ContextReady> all, Turn turn) {
        for (ContextReady ready : all) {
            Waiting prompt = waiting.get(ready.attempt());
            if (prompt != null) {
                prompt.ready = ready;
                go(ready.attempt(), prompt, turn);
            }
        }
    }

    private void go(AttemptId attempt, Waiting prompt, Turn turn) {
        if (prompt.callback == null || prompt.ready == null) {
            return;
        }
        waiting.remove(attempt);
        prompt.callback.fetched(new Fetched(prompt.ready.fetchedTokens(), prompt.ready.fetchedBytes()), turn);
    }

    private static ContextPrompt prompt(PromptRun run, Turn turn) {
        Frame.Dispatch dispatch = run.dispatch();
        return new ContextPrompt(
                dispatch.attempt(),
                run.target().name(),
                dispatch.customer(),
                dispatch.service(),
                dispatch.weightVersion(),
                dispatch.prompt(),
                turn.nowMicros() + dispatch.deadlineMicros());
    }

    /** A prompt before its call: it goes once its place is free and its context is ready. */
    private static final class Waiting {
        private final TargetName target;
        private Callback callback;
        private ContextReady ready;

        Waiting(TargetName target) {
            this.target = target;
        }
    }
}
