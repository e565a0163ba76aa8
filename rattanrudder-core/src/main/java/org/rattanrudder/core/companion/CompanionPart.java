package org.rattanrudder.core.companion;

import java.util.Collection;

/** A part of {@link CompanionMachine} that handles every event after the state machine itself. */
interface CompanionPart {
    /** Handles an event; events that don't concern the part are ignored. */
    default void handle(CompanionEvent event, EventContext context) {}

    /**
     * Handles a change of the assigned targets, or of the weight version of one.
     *
     * @param targets all assigned targets
     * @param context the context of the current event
     */
    default void onTargetsChanged(Collection<AssignedTarget> targets, EventContext context) {}
}
