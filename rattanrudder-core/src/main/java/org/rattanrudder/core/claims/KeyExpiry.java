package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.ServiceName;

/** Writes to the log up to which offset keys have expired, unless another process does so first. */
final class KeyExpiry {
    private final KeyLedger ledger;
    private final RandomGenerator random;
    private final Map<ServiceName, KeyRetention> retentions = new HashMap<>();
    private final Map<ServiceName, Long> nextRecordMicros = new HashMap<>();

    KeyExpiry(KeyLedger ledger, RandomGenerator random) {
        this.ledger = ledger;
        this.random = random;
    }

    void setRetention(ServiceName service, long retentionMicros) {
        KeyRetention known = retentions.get(service);
        if (known == null || known.retentionMicros() != retentionMicros) {
            retentions.put(service, new KeyRetention(retentionMicros));
        }
    }

    /**
     * Returns the maximum age at which a claim may still start its call. Keys expire this much later than their
     * retention, so that each key is retained in full, counted from the start of its run.
     */
    long maxClaimAgeMicros(ServiceName service) {
        KeyRetention retention = retentions.get(service);
        return retention == null ? 0 : retention.graceMicros();
    }

    void onRead(long offset) {
        retentions.values().forEach(retention -> retention.onRead(offset));
    }

    /** Returns the entries to append now. */
    List<LogEntry> entriesDue(long nowMicros) {
        List<LogEntry> entries = new ArrayList<>();
        retentions.forEach((service, retention) -> {
            retention.advance(nowMicros);
            OptionalLong offset = retention.expiredAbove(ledger.expiredUpTo(service));
            if (offset.isEmpty() || !ledger.services().contains(service)) {
                nextRecordMicros.remove(service);
                return;
            }
            // Each process draws a random delay, so that usually only one of them writes the entry and the others read
            // it.
            long at = nextRecordMicros.computeIfAbsent(
                    service, drawn -> nowMicros + random.nextLong(retention.checkpointIntervalMicros()));
            if (nowMicros >= at) {
                nextRecordMicros.put(service, nowMicros + retention.checkpointIntervalMicros());
                entries.add(new LogEntry.KeysExpired(service, offset.getAsLong()));
            }
        });
        return entries;
    }
}
