package org.rattanrudder.core.routing;

/** The reason why a request should be routed to particular targets. */
public enum Affinity {
    /** No affinity: any eligible target will do. */
    NONE,
    /** Its context: a target that served this context before has it in its cache and needn't compute it again. */
    CONTEXT,
    /** Its idempotency key: a repeated call should reach the companion that has the record of the first one. */
    KEY
}
