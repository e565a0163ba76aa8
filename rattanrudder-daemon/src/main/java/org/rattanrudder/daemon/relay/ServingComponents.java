package org.rattanrudder.daemon.relay;

/**
 * The components of the relay that serve requests.
 *
 * @param state the state that all components share
 * @param pools the connections to targets
 * @param queues the queues of requests that wait for a target
 * @param selfReports takes in what targets say of themselves
 * @param streamOrigins knows the software that began streams
 * @param soleSoftware knows the software of streams whose beginning callers don't name
 * @param quarantine checks requests against the quarantine
 * @param placements tells peers of new placements
 * @param fetchLateness records how late fetches were, for load reports
 */
record ServingComponents(
        RelayState state,
        TargetPools pools,
        HoldingQueues queues,
        SelfReports selfReports,
        StreamOriginExchange streamOrigins,
        SoleSoftware soleSoftware,
        QuarantineExchange quarantine,
        PlacementBroadcaster placements,
        FetchLatenessRecorder fetchLateness) {}
