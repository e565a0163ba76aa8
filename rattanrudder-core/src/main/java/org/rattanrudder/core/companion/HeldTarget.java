package org.rattanrudder.core.companion;

import java.util.Optional;
import org.rattanrudder.core.admission.Admission;
import org.rattanrudder.core.admission.AdmissionLimits;
import org.rattanrudder.core.admission.FairAdmission;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/** One target that this companion holds: its settings, its last report, and who runs and waits there. */
final class HeldTarget {
    /** How long a target may miss every question for its load before it gets no new work. */
    static final long UNREACHABLE_AFTER_MICROS = 3_000_000;

    /** How long a target may miss them before what waits is held back from it. */
    static final long SUSPECT_AFTER_MICROS = 1_000_000;

    private static final long NEVER = -1;

    private ServiceDocument document;
    private TargetSettings settings;
    private final Admission<AttemptId> admission;
    private final PrefillSpeed prefillSpeed = new PrefillSpeed();
    private String weightVersion = "";
    private boolean reported;
    private long missedSinceMicros = NEVER;
    private boolean released;

    HeldTarget(ServiceDocument document, TargetSettings settings) {
        this.document = document;
        this.settings = settings;
        this.admission = new FairAdmission<>(limits());
    }

    void configure(ServiceDocument newDocument, TargetSettings newSettings) {
        document = newDocument;
        settings = newSettings;
        released = false;
        admission.updateLimits(limits());
    }

    ServiceDocument document() {
        return document;
    }

    TargetSettings settings() {
        return settings;
    }

    TargetName name() {
        return settings.name();
    }

    ServiceName service() {
        return document.service();
    }

    boolean isEngine() {
        return document.kind() == ServiceKind.PROMPT;
    }

    /** Returns what speaks against giving an attempt that hasn't been called to the target now. */
    Optional<ErrorKind> objectionTo(Frame.Dispatch dispatch, long nowMicros) {
        if (!isOpen()) {
            return Optional.of(ErrorKind.DRAINING);
        }
        if (!isReachable(nowMicros)) {
            return Optional.of(ErrorKind.TARGET_UNREACHABLE);
        }
        if (isEngine() && (!hasVersion() || !weightVersion.equals(dispatch.weightVersion()))) {
            return Optional.of(ErrorKind.VERSION_CHANGED);
        }
        return Optional.empty();
    }

    /** Returns who runs and waits here. */
    Admission<AttemptId> admission() {
        return admission;
    }

    PrefillSpeed prefillSpeed() {
        return prefillSpeed;
    }

    /** Returns the weight version that the engine last reported; empty if it never did, and for plain services. */
    String weightVersion() {
        return weightVersion;
    }

    /** Returns whether the target could run something: an engine that is loading its first weights can't. */
    boolean hasVersion() {
        return !isEngine() || !weightVersion.isEmpty();
    }

    /** Marks that no document gives the target to this companion any more; what runs there goes on. */
    void release() {
        released = true;
    }

    boolean isReleased() {
        return released;
    }

    /** Takes a load report; returns whether the weight version changed. */
    boolean report(CompanionEvent.TargetLoad load) {
        missedSinceMicros = NEVER;
        reported = true;
        boolean changed = isEngine() && !load.weightVersion().equals(weightVersion);
        weightVersion = isEngine() ? load.weightVersion() : "";
        return changed;
    }

    /** Takes note that the target didn't tell its load. A plain service that never told it needn't. */
    void missReport(long nowMicros) {
        if (missedSinceMicros == NEVER && (isEngine() || reported)) {
            missedSinceMicros = nowMicros;
        }
    }

    /** Takes note that the target answered something. */
    void showLife() {
        missedSinceMicros = NEVER;
    }

    /** Forgets what the target reported, since its address is now another. */
    void forgetReports() {
        weightVersion = "";
        reported = false;
        missedSinceMicros = NEVER;
    }

    boolean isReachable(long nowMicros) {
        return !isSilentFor(UNREACHABLE_AFTER_MICROS, nowMicros) && (!isEngine() || reported);
    }

    /**
     * Returns whether the target may be dead. Its running calls end as unknown one after the other, and each place that
     * becomes free would send one more call that waits into the same end, though that one could still be not run.
     */
    boolean isSuspect(long nowMicros) {
        return isSilentFor(SUSPECT_AFTER_MICROS, nowMicros);
    }

    private boolean isSilentFor(long micros, long nowMicros) {
        return missedSinceMicros != NEVER && nowMicros - missedSinceMicros >= micros;
    }

    /** Returns whether the operator lets the target have new work. */
    boolean isOpen() {
        return !released && !settings.draining();
    }

    Frame.TargetState state(boolean accepting, long fetchBytesPerSecond, long nowMicros) {
        int middle = document.classes().get(document.classes().size() / 2).priority();
        return new Frame.TargetState(
                name(),
                accepting,
                admission.runningCount(),
                admission.queuedCount(),
                admission.expectedWaitMicros(middle, nowMicros),
                weightVersion,
                prefillSpeed.tokensPerSecond(),
                fetchBytesPerSecond);
    }

    private AdmissionLimits limits() {
        int mostUrgent = document.classes().stream()
                .mapToInt(RequestClass::priority)
                .min()
                .orElse(0);
        return AdmissionLimits.of(
                settings.concurrency(), mostUrgent, document.limits().queueLength());
    }
}
