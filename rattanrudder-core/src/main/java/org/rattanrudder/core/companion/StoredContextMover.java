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

/** Moves context between engines and the stores of their service, as {@link BlockMover} decides. */
final class StoredContextMover implements ContextMover {
    private final BlockMover mover;
    private final Map<AttemptId, PendingPrompt> pendingPrompts = new HashMap<>();
    private final Map<TargetName, AssignedTarget> engines = new HashMap<>();

    StoredContextMover(RandomGenerator random) {
        mover = new BlockMover(MoverPolicy.DEFAULT, BlockMover.MAX_CATALOG_BLOCKS, random);
    }

    @Override
    public void onTargetsChanged(Collection<AssignedTarget> targets, EventContext context) {
        Set<TargetName> before = Set.copyOf(engines.keySet());
        engines.clear();
        for (AssignedTarget target : targets) {
            if (target.isEngine()) {
                engines.put(target.name(), target);
                mover.updateTarget(target.document(), target.settings(), context.nowMicros());
            }
        }
        before.stream().filter(name -> !engines.containsKey(name)).forEach(mover::removeTarget);
    }

    @Override
    public void onQueued(PromptRun run, EventContext context) {
        prepare(run, context);
    }

    @Override
    public void fetch(PromptRun run, EventContext context, Callback callback) {
        prepare(run, context);
        PendingPrompt prompt = pendingPrompts.get(run.attempt());
        prompt.callback = callback;
        callIfReady(run.attempt(), prompt, context);
    }

    @Override
    public void onDropped(AttemptId attempt, EventContext context) {
        PendingPrompt prompt = pendingPrompts.remove(attempt);
        if (prompt != null) {
            mover.cancel(prompt.target, attempt);
        }
    }

    @Override
    public void onEnded(PromptRun run, Usage usage, EventContext context) {
        // An answer of another version would have been aborted: see TargetAnswerHandler.hasOtherVersion.
        String version = run.dispatch().weightVersion();
        AssignedTarget engine = engines.get(run.target().name());
        long speed = engine == null ? 0 : engine.prefillSpeed().tokensPerSecond();
        mover.onCompleted(prompt(run, context), version, speed, context.nowMicros(), context.effects());
    }

    @Override
    public void handle(CompanionEvent event, EventContext context) {
        onContextReady(mover.handle(event, context.nowMicros(), context.effects()), context);
    }

    @Override
    public long fetchBytesPerSecond(TargetName target) {
        return mover.fetchBytesPerSecond(target);
    }

    private void prepare(PromptRun run, EventContext context) {
        if (pendingPrompts.containsKey(run.attempt())) {
            return;
        }
        pendingPrompts.put(run.attempt(), new PendingPrompt(run.target().name()));
        onContextReady(mover.prepare(prompt(run, context), context.nowMicros(), context.effects()), context);
    }

    private void onContextReady(List<ContextReady> readyContexts, EventContext context) {
        for (ContextReady ready : readyContexts) {
            PendingPrompt prompt = pendingPrompts.get(ready.attempt());
            if (prompt != null) {
                prompt.ready = ready;
                callIfReady(ready.attempt(), prompt, context);
            }
        }
    }

    private void callIfReady(AttemptId attempt, PendingPrompt prompt, EventContext context) {
        if (prompt.callback == null || prompt.ready == null) {
            return;
        }
        pendingPrompts.remove(attempt);
        prompt.callback.onFetched(new Fetched(prompt.ready.fetchedTokens(), prompt.ready.fetchedBytes()), context);
    }

    private static ContextPrompt prompt(PromptRun run, EventContext context) {
        Frame.Dispatch dispatch = run.dispatch();
        return new ContextPrompt(
                dispatch.attempt(),
                run.target().name(),
                dispatch.customer(),
                dispatch.service(),
                dispatch.weightVersion(),
                dispatch.prompt(),
                context.nowMicros() + dispatch.deadlineMicros());
    }

    /** A prompt before its call. It is called once it holds a slot and its context is ready. */
    private static final class PendingPrompt {
        private final TargetName target;
        private Callback callback;
        private ContextReady ready;

        PendingPrompt(TargetName target) {
            this.target = target;
        }
    }
}
