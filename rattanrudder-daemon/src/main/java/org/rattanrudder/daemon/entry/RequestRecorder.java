package org.rattanrudder.daemon.entry;

import java.util.Optional;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.RequestSummary;

/** Takes what is worth knowing about an ended request, on the handler thread. */
@FunctionalInterface
interface RequestRecorder {
    /** Records the request; the class is empty if it wasn't known. */
    void record(RequestSummary summary, Optional<RequestClass> objective);
}
