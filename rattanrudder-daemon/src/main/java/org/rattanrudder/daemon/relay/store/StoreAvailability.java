package org.rattanrudder.daemon.relay.store;

import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;

/** Records whether the platform's store answers calls for a topic, and logs when that changes. */
final class StoreAvailability {
    private final EventLog log;
    private final Topic topic;
    private final BackOff backOff;
    private final TopicListener listener;
    private boolean available = true;
    private boolean answeredOnce;
    private int consecutiveFailures;

    /** Creates a record of no calls; {@code listener} is told how each call has ended. */
    StoreAvailability(EventLog log, Topic topic, BackOff backOff, TopicListener listener) {
        this.log = log;
        this.topic = topic;
        this.backOff = backOff;
        this.listener = listener;
    }

    /** Returns whether the store has ever answered. */
    boolean hasAnswered() {
        return answeredOnce;
    }

    /** Returns whether the store has answered the last call. */
    boolean isAnswering() {
        return answeredOnce && available;
    }

    /** Handles a successful answer. */
    void onSuccess() {
        int failures = consecutiveFailures;
        consecutiveFailures = 0;
        if (!available || !answeredOnce) {
            log.info("store_regained", "topic", topic.name(), "failures", Integer.toString(failures));
        }
        available = true;
        answeredOnce = true;
        listener.onAvailable();
    }

    /** Handles a call that has failed; returns the time until the next one, in ms. */
    long onFailure(String reason) {
        if (available) {
            log.warn("store_lost", "topic", topic.name(), "reason", reason);
        }
        available = false;
        listener.onUnavailable();
        long pause = backOff.millis(consecutiveFailures);
        consecutiveFailures++;
        return pause;
    }
}
