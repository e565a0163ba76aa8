package org.rattanrudder.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.rattanrudder.core.model.CustomerName;

/**
 * The queued requests of one priority, served by start-time fair queueing between customers (Goyal, Vin and Cheng,
 * 1996).
 *
 * <p>Each customer's flow has a tag in virtual time, which advances by cost over share with each request served. The
 * flow with the lowest tag is served next. A customer that was idle starts at the current virtual time, so that it
 * neither accumulates service nor is delayed by what others received meanwhile.
 *
 * @param <T> the type of a request's identifier
 */
final class PriorityLevel<T> {
    private final int priority;
    private final Map<CustomerName, Flow<T>> flows = new HashMap<>();
    private final TreeSet<Flow<T>> active =
            new TreeSet<>(Comparator.<Flow<T>>comparingLong(Flow::tag).thenComparing(Flow::name));
    private long virtualTime;
    private long workMicros;
    private int size;
    private long servedMicros;

    PriorityLevel(int priority) {
        this.priority = priority;
    }

    int priority() {
        return priority;
    }

    int size() {
        return size;
    }

    long workMicros() {
        return workMicros;
    }

    /** Returns how much service this level has received while less urgent requests were queued. */
    long servedMicros() {
        return servedMicros;
    }

    void setServedMicros(long newServedMicros) {
        servedMicros = newServedMicros;
    }

    void add(Flow.Sequenced<T> sequenced) {
        Flow<T> flow = flows.computeIfAbsent(sequenced.request().customer(), Flow::new);
        if (flow.isEmpty()) {
            flow.setTag(Math.max(flow.tag(), virtualTime));
        } else {
            active.remove(flow);
        }
        flow.add(sequenced);
        active.add(flow);
        workMicros += sequenced.request().costMicros();
        size++;
    }

    /** Returns the request to serve next; the level must not be empty. */
    QueuedRequest<T> head() {
        return active.first().first().request();
    }

    /** Removes the request to serve next and charges its customer. */
    Flow.Sequenced<T> poll() {
        Flow<T> flow = active.first();
        Flow.Sequenced<T> first = flow.first();
        virtualTime = Math.max(virtualTime, flow.tag());
        removeFrom(flow, first);
        reposition(
                flow,
                flow.tag()
                        + Flow.toVirtualTime(
                                first.request().costMicros(), first.request().share()));
        removeIdleFlows();
        return first;
    }

    void remove(Flow.Sequenced<T> sequenced) {
        removeFrom(flows.get(sequenced.request().customer()), sequenced);
        removeIdleFlows();
    }

    /** Corrects a customer's tag by the difference between the actual and the expected cost. */
    void charge(QueuedRequest<T> request, long differenceMicros) {
        Flow<T> flow = flows.get(request.customer());
        if (flow != null) {
            long corrected = flow.tag() + Flow.toVirtualTime(differenceMicros, request.share());
            reposition(flow, Math.max(corrected, virtualTime));
        }
    }

    /** Returns the request with the latest start time of the customer with the most queued work for its share. */
    Flow.Sequenced<T> lastOfHeaviest() {
        Flow<T> heaviest = active.first();
        for (Flow<T> flow : active) {
            if (flow.weightedWork() > heaviest.weightedWork()
                    || flow.weightedWork() == heaviest.weightedWork()
                            && flow.name().compareTo(heaviest.name()) > 0) {
                heaviest = flow;
            }
        }
        return heaviest.last();
    }

    /**
     * Returns the expected cost of this level's requests that are served before a new one: all of its own
     * customer's, and as much of the other customers' as fair queueing serves meanwhile.
     */
    long workAheadMicros(QueuedRequest<T> newRequest) {
        Flow<T> own = flows.get(newRequest.customer());
        long ownWork = own == null ? 0 : own.workMicros();
        long ownTag = own == null ? virtualTime : Math.max(own.tag(), virtualTime);
        long startTag = ownTag + Flow.toVirtualTime(ownWork, newRequest.share());
        long ahead = ownWork;
        for (Flow<T> flow : active) {
            if (flow != own && flow.tag() < startTag) {
                long served = Flow.toCostMicros(startTag - flow.tag(), flow.share());
                ahead += Math.min(flow.workMicros(), served);
            }
        }
        return ahead;
    }

    /** Returns the earliest time by which a request of this level must start. */
    long earliestStartMicros() {
        long earliest = Long.MAX_VALUE;
        for (Flow<T> flow : active) {
            earliest = Math.min(earliest, flow.first().request().startByMicros());
        }
        return earliest;
    }

    /** Returns all requests in the order in which they would be served if no more arrived. */
    List<QueuedRequest<T>> inOrder() {
        PriorityQueue<Projected<T>> queue = new PriorityQueue<>(Comparator.<Projected<T>>comparingLong(Projected::tag)
                .thenComparing(Projected::flow)
                .thenComparingInt(Projected::position));
        for (Flow<T> flow : active) {
            long tag = flow.tag();
            int position = 0;
            for (Flow.Sequenced<T> sequenced : flow.requests()) {
                queue.add(new Projected<>(sequenced.request(), tag, flow.name(), position++));
                tag += Flow.toVirtualTime(
                        sequenced.request().costMicros(), sequenced.request().share());
            }
        }
        List<QueuedRequest<T>> requests = new ArrayList<>(size);
        while (!queue.isEmpty()) {
            requests.add(queue.remove().request());
        }
        return requests;
    }

    private void removeFrom(Flow<T> flow, Flow.Sequenced<T> sequenced) {
        active.remove(flow);
        flow.remove(sequenced);
        workMicros -= sequenced.request().costMicros();
        size--;
        if (!flow.isEmpty()) {
            active.add(flow);
        }
    }

    private void reposition(Flow<T> flow, long tag) {
        active.remove(flow);
        flow.setTag(tag);
        if (!flow.isEmpty()) {
            active.add(flow);
        }
    }

    /**
     * Removes the flows of customers that have no queued requests and aren't ahead of the virtual time; removes all
     * flows once the level is empty.
     */
    private void removeIdleFlows() {
        if (size == 0) {
            flows.clear();
            virtualTime = 0;
            return;
        }
        if (flows.size() > 2 * active.size()) {
            flows.values().removeIf(flow -> flow.isEmpty() && flow.tag() <= virtualTime);
        }
    }

    private record Projected<T>(QueuedRequest<T> request, long tag, String flow, int position) {}
}
