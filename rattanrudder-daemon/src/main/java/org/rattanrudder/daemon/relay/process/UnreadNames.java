package org.rattanrudder.daemon.relay.process;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Logs each name once that another side sends and nothing reads, and counts them; bounded in volume. */
public final class UnreadNames {
    /** Names that are told apart; a sender that makes up names must not fill log and metrics. */
    private static final int MAX_NAMES = 32;

    private static final String OTHERS = "other";

    private final Set<String> names = new HashSet<>();
    private final Consumer<String[]> log;
    private final Consumer<String> counter;

    /**
     * Creates a record of no names.
     *
     * @param log logs a new name, given the fields of its line
     * @param counter counts a name each time
     */
    public UnreadNames(Consumer<String[]> log, Consumer<String> counter) {
        this.log = log;
        this.counter = counter;
    }

    /** Records a name, with further fields for the log. */
    public void record(String name, String... fields) {
        boolean told = names.contains(name);
        if (!told && names.size() >= MAX_NAMES) {
            counter.accept(OTHERS);
            return;
        }
        if (!told) {
            names.add(name);
            log.accept(Stream.concat(Stream.of("name", name), Stream.of(fields)).toArray(String[]::new));
        }
        counter.accept(name);
    }
}
