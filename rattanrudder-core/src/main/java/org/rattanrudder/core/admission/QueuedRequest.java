package org.rattanrudder.core.admission;

import org.rattanrudder.core.model.CustomerName;

/**
 * A request that is queued for a slot of a target.
 *
 * @param item identifies the request
 * @param customer the customer on whose behalf it is made
 * @param share the customer's weight against others, from 1
 * @param priority 0 is the most urgent
 * @param startByMicros when it must start at the latest to meet its deadline
 * @param costMicros how long it is expected to occupy its slot
 * @param <T> the type of the identifier
 */
public record QueuedRequest<T>(
        T item, CustomerName customer, int share, int priority, long startByMicros, long costMicros) {}
