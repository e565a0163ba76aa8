package org.rattanrudder.daemon.relay.store;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Passes a topic's records to its listener; those that it can't handle are counted, logged and skipped. */
final class RecordDelivery {
    private static final int MAX_REASON_CHARS = 200;

    private final RelayState state;
    private final Topic topic;
    private final boolean keyed;
    private final TopicListener listener;
    private final LoggedReasons logged = new LoggedReasons();
    private final Set<String> unhandledKeys = new HashSet<>();
    private boolean failed;
    private boolean malformed;

    /** Creates the delivery of a topic's records, each of which must have a key if the topic is {@code keyed}. */
    RecordDelivery(RelayState state, Topic topic, boolean keyed, TopicListener listener) {
        this.state = state;
        this.topic = topic;
        this.keyed = keyed;
        this.listener = listener;
    }

    /** Delivers the records of a listing's page. */
    void deliverListed(List<KeyedRecord> records) {
        records.forEach(record -> deliver(record, listener::onListedRecord));
    }

    /** Delivers the records of a poll: all of them, or the newest of each key if the listener needs no others. */
    void deliver(List<KeyedRecord> records) {
        if (listener.needsOnlyNewest()) {
            deliverNewest(records);
        } else {
            records.forEach(record -> deliver(record, listener::onRecord));
        }
    }

    /**
     * Delivers the last well-formed record of each key. After a pause, or during a burst of changes, one answer may
     * hold many records of the same key, and parsing each of them would block the event loop and delay requests.
     */
    private void deliverNewest(List<KeyedRecord> records) {
        Set<String> delivered = new HashSet<>();
        for (int index = records.size() - 1; index >= 0; index--) {
            KeyedRecord record = records.get(index);
            if (delivered.contains(record.key())) {
                listener.onSuperseded(record);
            } else if (deliver(record, listener::onRecord)) {
                delivered.add(record.key());
            }
        }
    }

    /** Returns whether a record of the deliveries since the last {@link #forgetFailures} has failed unexpectedly. */
    boolean hasFailed() {
        return failed;
    }

    /** Returns whether a record of those deliveries was malformed. */
    boolean hasMalformed() {
        return malformed;
    }

    /** Returns whether the newest record of a key has failed unexpectedly. */
    boolean hasUnhandledRecords() {
        return !unhandledKeys.isEmpty();
    }

    /** Handles that only these keys are left. */
    void onListed(Set<String> keys) {
        unhandledKeys.retainAll(keys);
    }

    /** Begins to look for unexpected failures, and for malformed records, anew. */
    void forgetFailures() {
        failed = false;
        malformed = false;
    }

    private static boolean isMalformed(Throwable unreadable) {
        return unreadable instanceof IllegalArgumentException;
    }

    private static String reasonOf(Throwable unreadable) {
        String reason = isMalformed(unreadable) ? String.valueOf(unreadable.getMessage()) : "unexpected: " + unreadable;
        return reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length()));
    }

    private void logUnreadable(KeyedRecord record, String reason) {
        if (!logged.add(record.key(), reason)) {
            return;
        }
        state.log()
                .warn(
                        "record_unreadable",
                        "topic",
                        topic.name(),
                        "key",
                        record.key(),
                        "position",
                        record.position().toString(),
                        "reason",
                        reason);
    }

    /** Passes a record to the handler, and returns whether it was handled. */
    private boolean deliver(KeyedRecord record, Consumer<KeyedRecord> handler) {
        try {
            if (keyed && record.key().isEmpty()) {
                throw new IllegalArgumentException("no key");
            }
            handler.accept(record);
            unhandledKeys.remove(record.key());
            return true;
        } catch (RuntimeException | StackOverflowError unreadable) {
            malformed |= isMalformed(unreadable);
            if (!isMalformed(unreadable)) {
                failed = true;
                unhandledKeys.add(record.key());
            }
            state.metrics().recordUnreadable(topic.name());
            logUnreadable(record, reasonOf(unreadable));
            return false;
        }
    }
}
