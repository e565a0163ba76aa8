package org.rattanrudder.core.admission;

import java.util.Comparator;
import java.util.TreeSet;
import org.rattanrudder.core.model.CustomerName;

/**
 * The queued requests of one customer at one priority, by the time at which they must start.
 *
 * @param <T> the type of a request's identifier
 */
final class Flow<T> {
    /**
     * Virtual time is the cost in microseconds times this, divided by the share, so that small costs keep their
     * precision.
     */
    private static final long SCALE = 1_024;

    private final CustomerName customer;
    private final TreeSet<Sequenced<T>> requests = new TreeSet<>(
            Comparator.<Sequenced<T>>comparingLong(each -> each.request().startByMicros())
                    .thenComparingLong(Sequenced::sequence));
    private long tag;
    private long workMicros;
    private int share = 1;

    Flow(CustomerName customer) {
        this.customer = customer;
    }

    /**
     * A request with its position in the order of arrival.
     *
     * @param request the request
     * @param sequence increases with each arrival
     */
    record Sequenced<T>(QueuedRequest<T> request, long sequence) {}

    /** Returns by how much virtual time advances for this cost of a customer with this share. */
    static long toVirtualTime(long costMicros, int share) {
        return costMicros * SCALE / share;
    }

    /** Returns the cost in microseconds that corresponds to this much virtual time. */
    static long toCostMicros(long virtualTime, int share) {
        return virtualTime * share / SCALE;
    }

    /** Returns the virtual time at which its next request starts. The flow with the lowest tag is served first. */
    long tag() {
        return tag;
    }

    void setTag(long newTag) {
        tag = newTag;
    }

    /** Returns the customer's name, which breaks ties between flows. */
    String name() {
        return customer.value();
    }

    void add(Sequenced<T> sequenced) {
        requests.add(sequenced);
        workMicros += sequenced.request().costMicros();
        share = sequenced.request().share();
    }

    void remove(Sequenced<T> sequenced) {
        if (requests.remove(sequenced)) {
            workMicros -= sequenced.request().costMicros();
        }
    }

    Sequenced<T> first() {
        return requests.first();
    }

    Sequenced<T> last() {
        return requests.last();
    }

    Iterable<Sequenced<T>> requests() {
        return requests;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    int share() {
        return share;
    }

    long workMicros() {
        return workMicros;
    }

    /** Returns its queued work in proportion to its share. */
    long weightedWork() {
        return toVirtualTime(workMicros, share);
    }
}
