package org.rattanrudder.core.entry;

import java.util.Optional;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.model.ErrorKind;

/**
 * The summary of an ended request, for logs and metrics.
 *
 * @param requestId the request's id, as in the logs
 * @param service the service as requested
 * @param customer the customer's name; empty if not authenticated
 * @param requestClass the request's class; empty if not known
 * @param target the target of the last attempt; empty if there was none
 * @param attempts number of attempts that were dispatched
 * @param firstByteMicros time from arrival to the first byte of the answer; -1 if none was sent
 * @param totalMicros time from arrival to the end
 * @param error the kind of error; empty if the request was answered
 * @param status the HTTP status sent
 * @param usage the request's resource usage
 */
public record RequestSummary(
        String requestId,
        String service,
        String customer,
        String requestClass,
        String target,
        int attempts,
        long firstByteMicros,
        long totalMicros,
        Optional<ErrorKind> error,
        int status,
        Usage usage) {}
