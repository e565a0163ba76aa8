package org.rattanrudder.core.claims;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;

/**
 * The claimed keys according to the log. The state depends only on the order of the entries, so it is the same at every
 * reader.
 *
 * <p>The first claim of a key is the valid one, and only its claimant may complete it; no other process takes it over.
 * A key is removed when its claimant releases it without having run the call, or when an entry of the log expires all
 * claims up to an offset.
 */
public final class KeyLedger {
    private static final int MAX_INSTANCES = 4096;

    private final long maxBodyBytes;
    private final Map<ServiceName, Map<Digest, ClaimedKey>> services = new HashMap<>();
    private final Map<ServiceName, Long> expiredOffsets = new HashMap<>();
    private final Map<Long, Map<Digest, Long>> openClaims = new HashMap<>();
    private final Map<InstanceName, Long> incarnations = new LinkedHashMap<>();
    private final Deque<ClaimedKey> answersWithBody = new ArrayDeque<>();
    private long bodyBytes;
    private int keyCount;

    /**
     * Creates an empty ledger.
     *
     * @param maxBodyBytes the total size of the recorded bodies that are kept; above it, the oldest answers lose their
     *     bodies and keep status and headers
     */
    public KeyLedger(long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** One claimed key. The answer is null until it is recorded, and is ignored once the key is unresolved. */
    private static final class ClaimedKey {
        private final Digest request;
        private final long claimant;
        private final long claimOffset;
        private boolean unresolved;
        private RecordedAnswer answer;

        private ClaimedKey(Digest request, long claimant, long offset) {
            this.request = request;
            this.claimant = claimant;
            this.claimOffset = offset;
        }

        private boolean isOpen() {
            return !unresolved && answer == null;
        }
    }

    /**
     * Applies the next entry of the stream; duplicate batches must have been dropped before.
     *
     * @param offset the offset of its batch
     * @param writer the incarnation that wrote it
     * @param entry the entry; entries that don't concern keys are ignored
     * @param nowMicros the time at which it is read
     * @return whether the entry is a claim that is now the valid one of its key
     */
    public boolean apply(long offset, long writer, LogEntry entry, long nowMicros) {
        if (entry instanceof LogEntry.KeyClaim claim) {
            return claim(offset, writer, claim, nowMicros);
        }
        if (entry instanceof LogEntry.KeyOutcome outcome) {
            close(outcome.key(), writer).ifPresent(claimed -> storeAnswer(claimed, RecordedAnswer.of(outcome)));
        } else if (entry instanceof LogEntry.KeyUnresolved unresolved) {
            close(unresolved.key(), writer).ifPresent(claimed -> claimed.unresolved = true);
        } else if (entry instanceof LogEntry.KeyRelease release) {
            release(release.key(), writer);
        } else if (entry instanceof LogEntry.KeysExpired keysExpired && keysExpired.upToOffset() <= offset) {
            // One that names a later offset would have keys expire that are yet to be claimed.
            expire(keysExpired.service(), keysExpired.upToOffset());
        } else if (entry instanceof LogEntry.ClaimantStarted started) {
            onClaimantStarted(started.instance(), writer);
        }
        return false;
    }

    /** Returns the state of a key; empty if it is not claimed. */
    public Optional<KeyState> state(Digest key) {
        ClaimedKey claimed = find(key);
        if (claimed == null) {
            return Optional.empty();
        }
        if (claimed.unresolved) {
            return Optional.of(new KeyState.Unresolved(claimed.request));
        }
        if (claimed.answer != null) {
            return Optional.of(new KeyState.Answered(claimed.request, claimed.answer));
        }
        long since = openClaims.get(claimed.claimant).get(key);
        return Optional.of(new KeyState.Claimed(claimed.request, claimed.claimant, since));
    }

    /** Returns the offset up to which the claims of a service have expired; 0 if none has. */
    public long expiredUpTo(ServiceName service) {
        return expiredOffsets.getOrDefault(service, 0L);
    }

    /** Returns the services that have claimed keys. */
    public Set<ServiceName> services() {
        return Set.copyOf(services.keySet());
    }

    /** Returns the number of claimed keys. */
    public int size() {
        return keyCount;
    }

    private boolean claim(long offset, long writer, LogEntry.KeyClaim claim, long nowMicros) {
        if (claim.claimant() != writer) {
            return false;
        }
        Map<Digest, ClaimedKey> ofService = services.computeIfAbsent(claim.service(), service -> new LinkedHashMap<>());
        ClaimedKey claimed = ofService.get(claim.key());
        if (claimed != null && claim.readOffset() < claimed.claimOffset) {
            return false;
        }
        if (claimed != null) {
            // Failure: a reader that started after the log dropped an expired claim finds the key unclaimed and runs
            // its call again, while readers that still have the old claim keep replaying the old answer. A claimant
            // that had read past the old claim claims the key only if the old claim had expired, so every reader drops
            // it here.
            remove(ofService, claim.key(), claimed);
        }
        ofService.put(claim.key(), new ClaimedKey(claim.request(), writer, offset));
        openClaims.computeIfAbsent(writer, claimant -> new HashMap<>()).put(claim.key(), nowMicros);
        keyCount++;
        return true;
    }

    /** Closes the key's claim and returns it, if it is open and belongs to the writer. */
    private Optional<ClaimedKey> close(Digest key, long writer) {
        ClaimedKey claimed = find(key);
        if (claimed == null || claimed.claimant != writer || !claimed.isOpen()) {
            return Optional.empty();
        }
        removeOpen(key, writer);
        return Optional.of(claimed);
    }

    private void release(Digest key, long writer) {
        close(key, writer)
                .ifPresent(claimed -> services.values().forEach(ofService -> remove(ofService, key, claimed)));
    }

    private void remove(Map<Digest, ClaimedKey> ofService, Digest key, ClaimedKey claimed) {
        if (ofService.remove(key, claimed)) {
            onRemoved(key, claimed);
        }
    }

    private void onRemoved(Digest key, ClaimedKey claimed) {
        removeOpen(key, claimed.claimant);
        dropBody(claimed);
        keyCount--;
    }

    private void onClaimantStarted(InstanceName instance, long incarnation) {
        Long predecessor = incarnations.remove(instance);
        incarnations.put(instance, incarnation);
        if (incarnations.size() > MAX_INSTANCES) {
            incarnations.remove(incarnations.keySet().iterator().next());
        }
        if (predecessor == null || predecessor == incarnation) {
            return;
        }
        for (Digest key :
                new HashSet<>(openClaims.getOrDefault(predecessor, Map.of()).keySet())) {
            close(key, predecessor).ifPresent(claimed -> claimed.unresolved = true);
        }
    }

    private void expire(ServiceName service, long upToOffset) {
        expiredOffsets.merge(service, upToOffset, Math::max);
        Iterator<Map.Entry<Digest, ClaimedKey>> oldest =
                services.getOrDefault(service, new HashMap<>()).entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<Digest, ClaimedKey> entry = oldest.next();
            ClaimedKey claimed = entry.getValue();
            if (claimed.claimOffset > upToOffset) {
                break;
            }
            oldest.remove();
            onRemoved(entry.getKey(), claimed);
        }
        pruneDroppedBodies();
    }

    private void pruneDroppedBodies() {
        while (!answersWithBody.isEmpty() && answersWithBody.peekFirst().answer.body().length == 0) {
            answersWithBody.pollFirst();
        }
    }

    private void storeAnswer(ClaimedKey claimed, RecordedAnswer answer) {
        claimed.answer = answer;
        if (answer.body().length == 0) {
            return;
        }
        answersWithBody.addLast(claimed);
        bodyBytes += answer.body().length;
        while (bodyBytes > maxBodyBytes) {
            dropBody(answersWithBody.pollFirst());
        }
    }

    private void dropBody(ClaimedKey claimed) {
        if (claimed.answer != null && claimed.answer.body().length > 0) {
            bodyBytes -= claimed.answer.body().length;
            claimed.answer = claimed.answer.withoutBody();
        }
    }

    private void removeOpen(Digest key, long claimant) {
        Map<Digest, Long> ofClaimant = openClaims.get(claimant);
        if (ofClaimant != null && ofClaimant.remove(key) != null && ofClaimant.isEmpty()) {
            openClaims.remove(claimant);
        }
    }

    private ClaimedKey find(Digest key) {
        for (Map<Digest, ClaimedKey> ofService : services.values()) {
            ClaimedKey claimed = ofService.get(key);
            if (claimed != null) {
                return claimed;
            }
        }
        return null;
    }
}
