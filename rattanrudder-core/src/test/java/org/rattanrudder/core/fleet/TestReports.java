package org.rattanrudder.core.fleet;

import java.util.List;
import org.rattanrudder.core.fleet.LoadReport.LeavingTarget;
import org.rattanrudder.core.fleet.LoadReport.RemovedTarget;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.parts.RetirementReport;
import org.rattanrudder.core.rollout.VersionQuestion;
import org.rattanrudder.core.topics.LogPosition;

/** Full reports of a peer that say only which targets leave and which it has removed. */
final class TestReports {
    private static final long INTERVAL_MILLIS = 100;

    private TestReports() {}

    /** Returns a full report of requests only. */
    static LoadReport ofLoads(long sequence, List<TargetLoad> loads) {
        return of(sequence, loads, List.of(), List.of(), List.of());
    }

    /** Returns a full report of weights that targets were seen to serve. */
    static LoadReport ofServed(List<ServedWeights> served) {
        return of(1, List.of(), served, List.of(), List.of());
    }

    static LoadReport of(List<LeavingTarget> leaving, List<RemovedTarget> removed) {
        return of(1, List.of(), List.of(), leaving, removed);
    }

    private static LoadReport of(
            long sequence,
            List<TargetLoad> loads,
            List<ServedWeights> served,
            List<LeavingTarget> leaving,
            List<RemovedTarget> removed) {
        return new LoadReport(
                "relay-2",
                sequence,
                true,
                loads,
                List.of(),
                served,
                List.of(),
                List.of(),
                true,
                readNothing(),
                List.of(),
                List.of(),
                leaving,
                removed,
                RetirementReport.NONE,
                VersionQuestion.NONE,
                INTERVAL_MILLIS);
    }

    /** Returns the positions of a relay that has read nothing. */
    static LoadReport.ReadPositions readNothing() {
        return new LoadReport.ReadPositions(LogPosition.START, LogPosition.START, LogPosition.START, LogPosition.START);
    }
}
