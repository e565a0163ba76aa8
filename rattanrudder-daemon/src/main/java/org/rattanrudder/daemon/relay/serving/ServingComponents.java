package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import org.rattanrudder.daemon.relay.peers.FetchLatenessRecorder;
import org.rattanrudder.daemon.relay.peers.PlacementBroadcaster;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.quarantine.QuarantineCheck;
import org.rattanrudder.daemon.relay.quarantine.QuarantineExchange;
import org.rattanrudder.daemon.relay.streams.SoleSoftware;
import org.rattanrudder.daemon.relay.streams.StreamOriginExchange;
import org.rattanrudder.daemon.relay.targets.SelfReports;
import org.rattanrudder.daemon.relay.targets.TargetPools;

/**
 * The components of the relay that serve requests.
 *
 * @param state the state that all components share
 * @param pools the connections to targets
 * @param memory asks whether the process may hold more bytes
 * @param queues the queues of requests that wait for a target
 * @param selfReports takes in what targets say of themselves
 * @param streamOrigins knows the software that began streams
 * @param soleSoftware knows the software of streams whose beginning callers don't name
 * @param quarantine checks requests against the quarantine
 * @param placements tells peers of new placements
 * @param fetchLateness records how late fetches were, for load reports
 */
public record ServingComponents(
        RelayState state,
        TargetPools pools,
        MemoryAdmission memory,
        HoldingQueues queues,
        SelfReports selfReports,
        StreamOriginExchange streamOrigins,
        SoleSoftware soleSoftware,
        QuarantineExchange quarantine,
        PlacementBroadcaster placements,
        FetchLatenessRecorder fetchLateness) {
    /** Returns the quarantine's check of a request with a path and a body. */
    QuarantineCheck quarantineCheck(RequestPlan plan, String path, ByteBuf body) {
        return quarantine.check(plan::customerName, () -> plan.fingerprint(path, body), plan::features);
    }
}
