package org.rattanrudder.core.admission;

import org.rattanrudder.core.model.CustomerName;

/**
 * A request that asks for a place at a target.
 *
 * @param item what names it
 * @param customer on whose behalf
 * @param share the customer's weight against others, from 1
 * @param requestClass the name of its class, whose requests cost about the same
 * @param priority 0 goes first
 * @param deadlineMicros when the first byte of its answer is due
 * @param <T> the type of what names it
 */
public record AdmissionRequest<T>(
        T item, CustomerName customer, int share, String requestClass, int priority, long deadlineMicros) {}
