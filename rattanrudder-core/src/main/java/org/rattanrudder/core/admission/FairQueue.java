package org.rattanrudder.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A queue by priority, with fair queueing between the customers of one priority and a guaranteed share of the
 * service for less urgent requests.
 *
 * <p>While less urgent requests are queued, each priority level leaves them a tenth of the service. Strict priority
 * would let them wait forever under constant urgent load: a request would be queued and never answered.
 *
 * @param <T> the type of a request's identifier
 */
final class FairQueue<T> implements RequestQueue<T> {
    /** Less urgent levels get one part in this many of the service and of the queue. */
    static final int GUARANTEED_SHARE_DIVISOR = 10;

    private int capacity;
    private final TreeMap<Integer, PriorityLevel<T>> levels = new TreeMap<>();
    private final Map<T, Flow.Sequenced<T>> byItem = new HashMap<>();
    private long arrivals;

    FairQueue(int capacity) {
        this.capacity = capacity;
    }

    @Override
    public Optional<QueuedRequest<T>> add(QueuedRequest<T> request) {
        Flow.Sequenced<T> sequenced = new Flow.Sequenced<>(request, arrivals++);
        byItem.put(request.item(), sequenced);
        levels.computeIfAbsent(request.priority(), PriorityLevel::new).add(sequenced);
        if (byItem.size() <= capacity) {
            return Optional.empty();
        }
        return remove(levelToEvictFrom(request).lastOfHeaviest().request().item());
    }

    @Override
    public Optional<QueuedRequest<T>> next(int maxPriority) {
        List<PriorityLevel<T>> waiting = levels.headMap(maxPriority, true).values().stream()
                .filter(level -> level.size() > 0)
                .toList();
        if (waiting.isEmpty()) {
            return Optional.empty();
        }
        QueuedRequest<T> request = nextLevel(waiting).poll().request();
        byItem.remove(request.item());
        return Optional.of(request);
    }

    @Override
    public Optional<QueuedRequest<T>> remove(T item) {
        Flow.Sequenced<T> sequenced = byItem.remove(item);
        if (sequenced == null) {
            return Optional.empty();
        }
        levels.get(sequenced.request().priority()).remove(sequenced);
        return Optional.of(sequenced.request());
    }

    @Override
    public void charge(QueuedRequest<T> request, long differenceMicros) {
        PriorityLevel<T> level = levels.get(request.priority());
        if (level != null) {
            level.charge(request, differenceMicros);
        }
    }

    @Override
    public List<Integer> priorities() {
        return levels.values().stream()
                .filter(level -> level.size() > 0)
                .map(PriorityLevel::priority)
                .toList();
    }

    @Override
    public List<QueuedRequest<T>> inOrder(int priority) {
        return levels.get(priority).inOrder();
    }

    @Override
    public long workMicros(int priority) {
        return levels.get(priority).workMicros();
    }

    @Override
    public long earliestStartMicros(int priority) {
        return levels.get(priority).earliestStartMicros();
    }

    @Override
    public long workAheadMicros(QueuedRequest<T> newRequest) {
        PriorityLevel<T> level = levels.get(newRequest.priority());
        return level == null ? 0 : level.workAheadMicros(newRequest);
    }

    @Override
    public long moreUrgentWorkMicros(int priority) {
        long work = 0;
        for (PriorityLevel<T> level : levels.headMap(priority).values()) {
            work += level.workMicros();
        }
        return work;
    }

    @Override
    public int moreUrgentLevels(int priority) {
        int waiting = 0;
        for (PriorityLevel<T> level : levels.headMap(priority).values()) {
            waiting += level.size() > 0 ? 1 : 0;
        }
        return waiting;
    }

    @Override
    public boolean hasLessUrgent(int priority) {
        for (PriorityLevel<T> level : levels.tailMap(priority, false).values()) {
            if (level.size() > 0) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void setCapacity(int newCapacity) {
        capacity = newCapacity;
    }

    @Override
    public int size(int priority) {
        PriorityLevel<T> level = levels.get(priority);
        return level == null ? 0 : level.size();
    }

    @Override
    public int size() {
        return byItem.size();
    }

    /**
     * Chooses the level to serve next. A level's service count is kept while the level is empty: if an urgent
     * request that arrives just after the last one was served reset it, less urgent requests would wait forever.
     */
    private PriorityLevel<T> nextLevel(List<PriorityLevel<T>> waiting) {
        int index = 0;
        while (index + 1 < waiting.size()) {
            PriorityLevel<T> level = waiting.get(index);
            long guaranteedCost = (GUARANTEED_SHARE_DIVISOR - 1)
                    * waiting.get(index + 1).head().costMicros();
            if (level.servedMicros() < guaranteedCost) {
                level.setServedMicros(level.servedMicros() + level.head().costMicros());
                return level;
            }
            level.setServedMicros(level.servedMicros() - guaranteedCost);
            index++;
        }
        PriorityLevel<T> last = waiting.get(index);
        if (!hasLessUrgent(last.priority())) {
            last.setServedMicros(0);
        }
        return last;
    }

    /**
     * Returns the level from which a full queue evicts: the least urgent one that has more than its guaranteed share
     * of the queue and is no more urgent than the new request, or else the longest. Without the guaranteed share,
     * urgent requests would in the end evict all less urgent ones, and none would be left to use the guaranteed
     * share of the service.
     */
    private PriorityLevel<T> levelToEvictFrom(QueuedRequest<T> newRequest) {
        int guaranteed = Math.max(1, capacity / GUARANTEED_SHARE_DIVISOR);
        PriorityLevel<T> longest = levels.get(newRequest.priority());
        for (PriorityLevel<T> level : levels.descendingMap().values()) {
            if (level.size() > guaranteed && level.priority() >= newRequest.priority()) {
                return level;
            }
            longest = level.size() > longest.size() ? level : longest;
        }
        return longest;
    }
}
