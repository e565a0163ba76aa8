package org.rattanrudder.core.fleet;

/** Says how much sooner a target begins a request than one that holds nothing of its prompt. */
@FunctionalInterface
public interface PromptSaving {
    /** The same everywhere: nothing is known, or nothing is shared. */
    PromptSaving NONE = target -> 0;

    /** Returns the time that is saved at a target, in ms. */
    double savedMillis(Target target);
}
