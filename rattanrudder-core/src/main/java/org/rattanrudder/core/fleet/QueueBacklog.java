package org.rattanrudder.core.fleet;

import java.util.Arrays;

/**
 * Sums of the requests that wait, by priority and by the time that orders them within a priority.
 *
 * <p>Times are rounded down to spans, so that a sum costs as many steps as there are spans with requests, however many
 * requests wait, and a queued request needs no object here.
 */
final class QueueBacklog {
    /** Length of a span: short beside the objectives, and 100 spans cover what waits for five seconds. */
    static final long SPAN_MILLIS = 50;

    /** Priorities from here on are summed with the last one. */
    static final int PRIORITIES = 8;

    private final Level[] levels = new Level[PRIORITIES];
    private int requests;
    private long tokens;

    QueueBacklog() {
        Arrays.setAll(levels, unused -> new Level());
    }

    /** Returns the level of a priority. */
    static int level(int priority) {
        return Math.max(0, Math.min(PRIORITIES - 1, priority));
    }

    /** Adds a request. */
    void add(int priority, long orderMillis, int size) {
        levels[level(priority)].change(spanOf(orderMillis), 1, size);
        requests++;
        tokens += size;
    }

    /** Removes a request that was added with the same arguments. */
    void remove(int priority, long orderMillis, int size) {
        levels[level(priority)].change(spanOf(orderMillis), -1, -size);
        requests--;
        tokens -= size;
    }

    /** Returns what all requests amount to. */
    HoldingQueue.Work all() {
        return new HoldingQueue.Work(requests, tokens);
    }

    /** Returns what goes before a request that is added now; those of the same span count as before it. */
    HoldingQueue.Work before(int priority, long orderMillis) {
        int own = level(priority);
        int requestsBefore = 0;
        long tokensBefore = 0;
        for (int level = 0; level <= own; level++) {
            long last = level < own ? Long.MAX_VALUE : spanOf(orderMillis);
            Level each = levels[level];
            for (int index = 0; index < each.size && each.spans[index] <= last; index++) {
                requestsBefore += each.requests[index];
                tokensBefore += each.tokens[index];
            }
        }
        return new HoldingQueue.Work(requestsBefore, tokensBefore);
    }

    private static long spanOf(long millis) {
        return Math.floorDiv(millis, SPAN_MILLIS);
    }

    /** The spans of one priority that have requests, in order. */
    private static final class Level {
        private static final int FIRST_CAPACITY = 16;

        private long[] spans = new long[FIRST_CAPACITY];
        private int[] requests = new int[FIRST_CAPACITY];
        private long[] tokens = new long[FIRST_CAPACITY];
        private int size;

        void change(long span, int addedRequests, long addedTokens) {
            int index = Arrays.binarySearch(spans, 0, size, span);
            if (index < 0) {
                index = -index - 1;
                insert(index, span);
            }
            requests[index] += addedRequests;
            tokens[index] += addedTokens;
            if (requests[index] == 0) {
                delete(index);
            }
        }

        private void insert(int index, long span) {
            if (size == spans.length) {
                spans = Arrays.copyOf(spans, 2 * size);
                requests = Arrays.copyOf(requests, 2 * size);
                tokens = Arrays.copyOf(tokens, 2 * size);
            }
            shift(index, index + 1, size - index);
            size++;
            spans[index] = span;
            requests[index] = 0;
            tokens[index] = 0;
        }

        private void delete(int index) {
            size--;
            shift(index + 1, index, size - index);
        }

        private void shift(int from, int to, int count) {
            System.arraycopy(spans, from, spans, to, count);
            System.arraycopy(requests, from, requests, to, count);
            System.arraycopy(tokens, from, tokens, to, count);
        }
    }
}
