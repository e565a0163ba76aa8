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

/** A target that is assigned to this companion: its settings, its last load report and its admission queue. */
final class AssignedTarget {
    /** Time without a load report after which a target counts as unreachable and gets no new attempts. */
    static final long UNREACHABLE_AFTER_MICROS = 3_000_000;

    /** Time without a load report after which a target is suspect and queued attempts are held back. */
    static final long SUSPECT_AFTER_MICROS = 1_000_000;

    private static final long NEVER = -1;

    private ServiceDocument document;
    private TargetSettings settings;
    private final Admission<AttemptId> admission;
    private final PrefillSpeed prefillSpeed = new PrefillSpeed();
    private String weightVersion = "";
    private boolean hasReported;
    private long unresponsiveSinceMicros = NEVER;
    private boolean released;

    AssignedTarget(ServiceDocument document, TargetSettings settings) {
        this.document = document;
        this.settings = settings;
        this.admission = new FairAdmission<>(admissionLimits());
    }

    void configure(ServiceDocument newDocument, TargetSettings newSettings) {
        document = newDocument;
        settings = newSettings;
        released = false;
        admission.updateLimits(admissionLimits());
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

    /** Returns why an attempt that hasn't been called yet can't run at the target now; empty if it can. */
    Optional<ErrorKind> rejectionReason(Frame.Dispatch dispatch, long nowMicros) {
        if (!isOpen()) {
            return Optional.of(ErrorKind.DRAINING);
        }
        if (!isReachable(nowMicros)) {
            return Optional.of(ErrorKind.TARGET_UNREACHABLE);
        }
        if (isEngine() && (!hasWeights() || !weightVersion.equals(dispatch.weightVersion()))) {
            return Optional.of(ErrorKind.VERSION_CHANGED);
        }
        return Optional.empty();
    }

    /** Returns the running and queued attempts. */
    Admission<AttemptId> admission() {
        return admission;
    }

    PrefillSpeed prefillSpeed() {
        return prefillSpeed;
    }

    /**
     * Returns the weight version that the engine last reported; empty before its first report and for plain services.
     */
    String weightVersion() {
        return weightVersion;
    }

    /**
     * Returns whether the target has weights to run with, unlike an engine that is loading its first ones. Always true
     * for plain services.
     */
    boolean hasWeights() {
        return !isEngine() || !weightVersion.isEmpty();
    }

    /** Marks the target as no longer assigned to this companion; running attempts continue. */
    void release() {
        released = true;
    }

    boolean isReleased() {
        return released;
    }

    /** Handles a load report; returns whether the weight version changed. */
    boolean onLoadReport(CompanionEvent.TargetLoad load) {
        unresponsiveSinceMicros = NEVER;
        hasReported = true;
        boolean versionChanged = isEngine() && !load.weightVersion().equals(weightVersion);
        weightVersion = isEngine() ? load.weightVersion() : "";
        return versionChanged;
    }

    /**
     * Handles a missing load report. It is ignored for a plain service that has never sent one, since that is optional.
     */
    void onReportMissed(long nowMicros) {
        if (unresponsiveSinceMicros == NEVER && (isEngine() || hasReported)) {
            unresponsiveSinceMicros = nowMicros;
        }
    }

    /** Handles any sign of life of the target, such as a part of an answer. */
    void onActivity() {
        unresponsiveSinceMicros = NEVER;
    }

    /** Resets what the target has reported, after its address changed. */
    void resetReports() {
        weightVersion = "";
        hasReported = false;
        unresponsiveSinceMicros = NEVER;
    }

    boolean isReachable(long nowMicros) {
        return !isUnresponsiveFor(UNREACHABLE_AFTER_MICROS, nowMicros) && (!isEngine() || hasReported);
    }

    /**
     * Returns whether the target may be dead. Its running calls then end as unknown one after the other. If queued
     * attempts took the freed slots, they would end as unknown too, although they can still be refused as not run.
     */
    boolean isSuspect(long nowMicros) {
        return isUnresponsiveFor(SUSPECT_AFTER_MICROS, nowMicros);
    }

    private boolean isUnresponsiveFor(long micros, long nowMicros) {
        return unresponsiveSinceMicros != NEVER && nowMicros - unresponsiveSinceMicros >= micros;
    }

    /** Returns whether the target may get new attempts: it is assigned, and the operator isn't draining it. */
    boolean isOpen() {
        return !released && !settings.draining();
    }

    Frame.TargetState state(boolean accepting, long fetchBytesPerSecond, long nowMicros) {
        int middlePriority =
                document.classes().get(document.classes().size() / 2).priority();
        return new Frame.TargetState(
                name(),
                accepting,
                admission.runningCount(),
                admission.queuedCount(),
                admission.expectedWaitMicros(middlePriority, nowMicros),
                weightVersion,
                prefillSpeed.tokensPerSecond(),
                fetchBytesPerSecond);
    }

    private AdmissionLimits admissionLimits() {
        int minPriority = document.classes().stream()
                .mapToInt(RequestClass::priority)
                .min()
                .orElse(0);
        return AdmissionLimits.of(
                settings.concurrency(), minPriority, document.limits().queueLength());
    }
}
