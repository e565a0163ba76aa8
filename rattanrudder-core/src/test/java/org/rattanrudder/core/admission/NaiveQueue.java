package org.rattanrudder.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.CustomerName;

/** The rules of {@link FairQueue} in the simplest form: one flat list that is scanned each time. */
final class NaiveQueue {
    private final int capacity;
    private final List<QueuedRequest<Integer>> waiting = new ArrayList<>();
    private final Map<Integer, Long> virtualTimes = new HashMap<>();
    private final Map<Integer, Long> served = new HashMap<>();
    private final Map<Integer, Map<CustomerName, Long>> tags = new HashMap<>();

    NaiveQueue(int capacity) {
        this.capacity = capacity;
    }

    Optional<Integer> add(QueuedRequest<Integer> request) {
        int priority = request.priority();
        if (of(priority, request.customer()).isEmpty()) {
            long tag = Math.max(tagsAt(priority).getOrDefault(request.customer(), 0L), virtualTimeAt(priority));
            tagsAt(priority).put(request.customer(), tag);
        }
        waiting.add(request);
        if (waiting.size() <= capacity) {
            return Optional.empty();
        }
        int evictFrom = priorityToEvictFrom(priority);
        CustomerName heaviest = customersAt(evictFrom).stream()
                .max(Comparator.<CustomerName>comparingLong(each -> weightedWork(evictFrom, each))
                        .thenComparing(CustomerName::value))
                .orElseThrow();
        List<QueuedRequest<Integer>> requests = of(evictFrom, heaviest);
        QueuedRequest<Integer> evicted = requests.get(requests.size() - 1);
        removeRequest(evicted);
        return Optional.of(evicted.item());
    }

    Optional<Integer> next(int maxPriority) {
        List<Integer> priorities = waiting.stream()
                .map(QueuedRequest::priority)
                .filter(each -> each <= maxPriority)
                .distinct()
                .sorted()
                .toList();
        for (int index = 0; index < priorities.size(); index++) {
            int priority = priorities.get(index);
            if (index + 1 == priorities.size()) {
                if (waiting.stream().noneMatch(each -> each.priority() > priority)) {
                    served.remove(priority);
                }
                return Optional.of(serve(priority));
            }
            long guaranteedCost = (FairQueue.GUARANTEED_SHARE_DIVISOR - 1)
                    * head(priorities.get(index + 1)).costMicros();
            long received = served.getOrDefault(priority, 0L);
            if (received < guaranteedCost) {
                served.put(priority, received + head(priority).costMicros());
                return Optional.of(serve(priority));
            }
            served.put(priority, received - guaranteedCost);
        }
        return Optional.empty();
    }

    boolean remove(int item) {
        Optional<QueuedRequest<Integer>> found =
                waiting.stream().filter(each -> each.item() == item).findFirst();
        found.ifPresent(this::removeRequest);
        return found.isPresent();
    }

    int size() {
        return waiting.size();
    }

    private int serve(int priority) {
        QueuedRequest<Integer> request = head(priority);
        long tag = tagsAt(priority).get(request.customer());
        virtualTimes.put(priority, Math.max(virtualTimeAt(priority), tag));
        tagsAt(priority).put(request.customer(), tag + Flow.toVirtualTime(request.costMicros(), request.share()));
        removeRequest(request);
        return request.item();
    }

    private QueuedRequest<Integer> head(int priority) {
        CustomerName first = customersAt(priority).stream()
                .min(Comparator.<CustomerName>comparingLong(
                                each -> tagsAt(priority).get(each))
                        .thenComparing(CustomerName::value))
                .orElseThrow();
        return of(priority, first).get(0);
    }

    private void removeRequest(QueuedRequest<Integer> request) {
        waiting.remove(request);
        int priority = request.priority();
        if (waiting.stream().noneMatch(each -> each.priority() == priority)) {
            virtualTimes.remove(priority);
            tags.remove(priority);
        }
    }

    private int priorityToEvictFrom(int newPriority) {
        int guaranteed = Math.max(1, capacity / FairQueue.GUARANTEED_SHARE_DIVISOR);
        List<Integer> priorities = waiting.stream()
                .map(QueuedRequest::priority)
                .distinct()
                .sorted(Comparator.reverseOrder())
                .toList();
        for (int priority : priorities) {
            if (priority >= newPriority && countAt(priority) > guaranteed) {
                return priority;
            }
        }
        int longest = newPriority;
        for (int priority : priorities) {
            longest = countAt(priority) > countAt(longest) ? priority : longest;
        }
        return longest;
    }

    private long countAt(int priority) {
        return waiting.stream().filter(each -> each.priority() == priority).count();
    }

    private List<CustomerName> customersAt(int priority) {
        return waiting.stream()
                .filter(each -> each.priority() == priority)
                .map(QueuedRequest::customer)
                .distinct()
                .toList();
    }

    private List<QueuedRequest<Integer>> of(int priority, CustomerName customer) {
        return waiting.stream()
                .filter(each -> each.priority() == priority && each.customer().equals(customer))
                .sorted(Comparator.comparingLong(QueuedRequest::startByMicros))
                .toList();
    }

    private long weightedWork(int priority, CustomerName customer) {
        List<QueuedRequest<Integer>> requests = of(priority, customer);
        long work = requests.stream().mapToLong(QueuedRequest::costMicros).sum();
        return Flow.toVirtualTime(work, requests.get(0).share());
    }

    private long virtualTimeAt(int priority) {
        return virtualTimes.getOrDefault(priority, 0L);
    }

    private Map<CustomerName, Long> tagsAt(int priority) {
        return tags.computeIfAbsent(priority, each -> new HashMap<>());
    }
}
