package org.rattanrudder.core.admission;

import org.rattanrudder.core.model.CustomerName;

/**
 * A request for a slot of a target.
 *
 * @param item identifies the request
 * @param customer the customer on whose behalf it is made
 * @param share the customer's weight against others, from 1
 * @param requestClass the name of its class, whose requests cost about the same
 * @param priority 0 is the most urgent
 * @param deadlineMicros when the first byte of its answer is due
 * @param <T> the type of the identifier
 */
public record AdmissionRequest<T>(
        T item, CustomerName customer, int share, String requestClass, int priority, long deadlineMicros) {}
