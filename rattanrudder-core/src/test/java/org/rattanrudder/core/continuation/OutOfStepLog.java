package org.rattanrudder.core.continuation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A log of keyed records that drops old ones, but keeps the newest of each key for listings. */
final class OutOfStepLog {
    private final List<Entry> entries = new ArrayList<>();
    private int firstKept;

    /** A record; a removal has no service. */
    record Entry(String key, String service, String version, int offset, long writtenAt) {
        boolean isRemoval() {
            return service.isEmpty();
        }
    }

    int end() {
        return entries.size();
    }

    int firstKept() {
        return firstKept;
    }

    void forgetOld() {
        firstKept = end();
    }

    void put(String key, String service, String version, long now) {
        entries.add(new Entry(key, service, version, entries.size(), now));
    }

    void remove(String key, long now) {
        put(key, "", "", now);
    }

    List<Entry> from(int offset) {
        return List.copyOf(entries.subList(offset, end()));
    }

    /** Returns the newest record of each key, without removals. */
    List<Entry> newest() {
        Map<String, Entry> newest = new LinkedHashMap<>();
        entries.forEach(entry -> newest.put(entry.key(), entry));
        return newest.values().stream().filter(entry -> !entry.isRemoval()).toList();
    }

    /** Returns the last record of a key that isn't its removal. */
    Entry last(String key) {
        return entries.stream()
                .filter(entry -> entry.key().equals(key) && !entry.isRemoval())
                .reduce((before, after) -> after)
                .orElseThrow();
    }

    /** Returns whether a key had a service at a time, or later. */
    boolean heldSince(String key, String service, long since) {
        List<Entry> own =
                entries.stream().filter(entry -> entry.key().equals(key)).toList();
        for (int index = 0; index < own.size(); index++) {
            boolean lasted = index + 1 == own.size() || own.get(index + 1).writtenAt() >= since;
            if (lasted && own.get(index).service().equals(service)) {
                return true;
            }
        }
        return false;
    }

    boolean heldSince(String key, long since) {
        return heldSince(key, last(key).service(), since);
    }
}
