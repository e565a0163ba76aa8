package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.model.Digest;

/**
 * An alternative rule, for comparison with claims in the log; the daemon doesn't use it. The document assigns each key
 * to one home, and only the home runs it. The home decides from memory and writes the log afterwards. A document moves
 * a key only after the old home has recorded the handover in the log. A restarted home can't know the keys that its
 * predecessor ran and had not yet written.
 */
final class FixedHomeRule {
    private final String name;
    private final boolean restarted;
    private final List<Entry> log;
    private final List<Entry> pendingEntries = new ArrayList<>();
    private final Set<Digest> ranKeys = new HashSet<>();
    private final Map<Integer, Map<String, HandedOver>> handovers = new HashMap<>();
    private final List<Document> documents = new ArrayList<>();
    private int position;

    FixedHomeRule(String name, boolean restarted, List<Entry> log) {
        this.name = name;
        this.restarted = restarted;
        this.log = log;
    }

    /** An entry of the log. */
    sealed interface Entry {}

    /** The homes from this entry on. */
    record Document(List<String> homes) implements Entry {}

    /** A home no longer runs keys by earlier documents; complete if it has written every key that it ran. */
    record HandedOver(int document, String home, boolean complete) implements Entry {}

    /** A key whose call was run. */
    record KeyRun(Digest key) implements Entry {}

    /** The decision on a call. */
    enum Outcome {
        RUNS,
        RAN_BEFORE,
        NOT_RUN,
        UNKNOWN
    }

    static String home(Digest key, List<String> homes) {
        String best = homes.get(0);
        for (String home : homes) {
            if (weight(key, home) > weight(key, best)) {
                best = home;
            }
        }
        return best;
    }

    /** Decides on a call without waiting for the log. */
    Outcome ask(Digest key) {
        if (ranKeys.contains(key)) {
            return Outcome.RAN_BEFORE;
        }
        if (documents.isEmpty()
                || !home(key, documents.get(documents.size() - 1).homes()).equals(name)) {
            return Outcome.NOT_RUN;
        }
        boolean complete = !restarted;
        for (int number = 1; number < documents.size(); number++) {
            String before = home(key, documents.get(number - 1).homes());
            if (before.equals(home(key, documents.get(number).homes()))) {
                continue;
            }
            HandedOver handover = handovers.getOrDefault(number, Map.of()).get(before);
            if (handover == null) {
                return Outcome.NOT_RUN;
            }
            complete &= handover.complete();
        }
        if (!complete) {
            return Outcome.UNKNOWN;
        }
        ranKeys.add(key);
        pendingEntries.add(new KeyRun(key));
        return Outcome.RUNS;
    }

    /** Writes the keys that it ran; the log must be available. */
    void flush() {
        log.addAll(pendingEntries);
        pendingEntries.clear();
    }

    /**
     * Reads the next entry; the log must be available, since the handover for a new document follows all keys that the
     * home ran.
     */
    void readNext() {
        if (position == log.size()) {
            return;
        }
        Entry entry = log.get(position++);
        if (entry instanceof KeyRun ran) {
            ranKeys.add(ran.key());
        } else if (entry instanceof HandedOver handover) {
            handovers
                    .computeIfAbsent(handover.document(), document -> new HashMap<>())
                    .putIfAbsent(handover.home(), handover);
        } else if (entry instanceof Document document) {
            documents.add(document);
            flush();
            log.add(new HandedOver(documents.size() - 1, name, !restarted));
        }
    }

    private static long weight(Digest key, String home) {
        return Digest.of(key.toHex(), home).first();
    }
}
