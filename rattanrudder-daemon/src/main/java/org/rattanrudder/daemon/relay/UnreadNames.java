package org.rattanrudder.daemon.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.rattanrudder.daemon.logging.EventLog;

/** Logs each name once that another side sends and nothing reads, and counts them; bounded in volume. */
final class UnreadNames {
    /** Names that are told apart; a sender that makes up names must not fill log and metrics. */
    private static final int MAX_NAMES = 32;

    private static final String OTHERS = "other";

    private final Set<String> names = new HashSet<>();
    private final String event;
    private final EventLog log;
    private final Consumer<String> counter;

    /**
     * Creates a record of no names.
     *
     * @param event the event to log a new name as
     * @param counter counts a name each time
     */
    UnreadNames(String event, EventLog log, Consumer<String> counter) {
        this.event = event;
        this.log = log;
        this.counter = counter;
    }

    /** Records a name, with further fields for the log. */
    void record(String name, String... fields) {
        boolean told = names.contains(name);
        if (!told && names.size() >= MAX_NAMES) {
            counter.accept(OTHERS);
            return;
        }
        if (!told) {
            names.add(name);
            log.warn(
                    event,
                    Stream.concat(Stream.of("name", name), Stream.of(fields)).toArray(String[]::new));
        }
        counter.accept(name);
    }
}
