package org.rattanrudder.core.entry;

import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.ServiceName;

/** A call that an operator can make to any entry. */
public sealed interface OperatorCall {
    /**
     * Publish an edited document. It is validated before it is appended to the log, and the reply is sent once the log
     * shows whether the edit was accepted.
     *
     * @param service the service
     * @param baseRevision the revision that the edit is based on; 0 for a new service
     * @param text the text of the document
     */
    record Publish(ServiceName service, long baseRevision, String text) implements OperatorCall {}

    /**
     * Show the document that is in force.
     *
     * @param service the service
     */
    record Show(ServiceName service) implements OperatorCall {}

    /** Show this entry's view of services, companions, targets, loads and versions. */
    record Status() implements OperatorCall {}

    /**
     * Show the routing decision for a request and the candidates, without running the request.
     *
     * @param service the service
     * @param customer the customer
     * @param requestClass the request class; the default class if empty
     * @param prompt the prompt's shape
     */
    record Explain(ServiceName service, CustomerName customer, String requestClass, PromptShape prompt)
            implements OperatorCall {}
}
