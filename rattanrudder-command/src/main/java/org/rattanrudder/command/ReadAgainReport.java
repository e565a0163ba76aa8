package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Which shared parts of prompts engines had to read though another engine had read them a while ago, and why.
 *
 * <p>Relays log for each prompt that they send what they decided for its shared parts. A part that isn't fetched is
 * read; it counts as read again if a prompt with the same part and salt had been sent to another engine, not longer ago
 * than a given time. Whether the engine itself still held it can't be seen from here: a part that was last sent to the
 * same engine isn't counted.
 */
final class ReadAgainReport {
    private static final String FETCHED = "fetched";

    /** Asks that are this close count as made at once: a save takes that long to be known everywhere, in ms. */
    private static final long AT_ONCE_MILLIS = 1_000;

    private final long reuseMillis;
    private final Map<String, Use> lastUses = new HashMap<>();
    private final Map<String, Long> tokensByReason = new HashMap<>();
    private long tokens;

    private record Use(long atMillis, String target) {}

    /**
     * Tokens that were read again for one reason.
     *
     * @param reason what the relay had decided, and whether two asks came at once
     * @param tokens how many
     */
    record Reason(String reason, long tokens) {}

    private ReadAgainReport(long reuseMillis) {
        this.reuseMillis = reuseMillis;
    }

    /**
     * Reads what was sent.
     *
     * @param reuseMillis a part that was used longer ago isn't read again, but anew
     */
    static ReadAgainReport of(Stream<LoggedEvent> events, long reuseMillis) {
        ReadAgainReport report = new ReadAgainReport(reuseMillis);
        events.filter(event -> event.event().equals("request_sent")
                        && event.timeMillis().isPresent())
                .sorted(Comparator.comparingLong(event -> event.timeMillis().orElseThrow()))
                .forEach(report::add);
        return report;
    }

    private void add(LoggedEvent event) {
        if (event.text("parts").isEmpty()) {
            return;
        }
        for (String part : event.text("parts").split(",")) {
            String[] fields = part.split(":");
            if (fields.length == 3) {
                add(event, fields[0], Long.parseLong(fields[1]), fields[2]);
            }
        }
    }

    private void add(LoggedEvent event, String id, long size, String choice) {
        long now = event.timeMillis().orElseThrow();
        Use use = new Use(now, event.text("target"));
        Use before = lastUses.put(event.text("salt") + "/" + id, use);
        boolean again = before != null && now - before.atMillis() <= reuseMillis;
        if (choice.equals(FETCHED) || !again || before.target().equals(use.target())) {
            return;
        }
        String atOnce = now - before.atMillis() <= AT_ONCE_MILLIS ? ", asked for at once" : "";
        tokensByReason.merge(choice + atOnce, size, Long::sum);
        tokens += size;
    }

    /** Returns all tokens that were read again. */
    long tokens() {
        return tokens;
    }

    /** Returns the reasons, the largest first. */
    List<Reason> reasons() {
        List<Reason> reasons = new ArrayList<>();
        tokensByReason.forEach((reason, count) -> reasons.add(new Reason(reason, count)));
        reasons.sort(Comparator.comparingLong(Reason::tokens).reversed().thenComparing(Reason::reason));
        return reasons;
    }
}
