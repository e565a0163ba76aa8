package org.rattanrudder.core.rollout;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.rattanrudder.core.fleet.PublishedVersions;

/**
 * The versions of weights that targets are said to serve and that aren't known to be published.
 *
 * <p>An operator may have published such a version, and a target may have loaded it, before this relay has read of it.
 * A read that began after the version was first claimed, and that doesn't find it, proves that it wasn't published.
 *
 * <p>Times are milliseconds of the clock of {@link DesiredVersions#onReadToEnd}.
 */
public final class ClaimedVersions implements PublishedVersions {
    /** Maximum number of remembered claims; the oldest ones, which were judged long ago, are forgotten first. */
    static final int MAX_CLAIMS = 1_024;

    /** Minimum time between two reads that are asked for. */
    private static final long READ_INTERVAL_MILLIS = 1_000;

    private final DesiredVersions versions;
    private final LongSupplier nowMillis;
    private final Map<Claim, Long> firstClaimedAt = new LinkedHashMap<>();
    private Runnable read = () -> {};
    private long readRequestedAt = Long.MIN_VALUE / 2;

    private record Claim(String model, long version) {}

    /**
     * Creates a registry without claims.
     *
     * @param nowMillis returns the time, in ms
     */
    public ClaimedVersions(DesiredVersions versions, LongSupplier nowMillis) {
        this.versions = versions;
        this.nowMillis = nowMillis;
    }

    /** Sets what asks for a read of the desired versions; it is run once a second at most. */
    public void setRead(Runnable newest) {
        read = newest;
    }

    @Override
    public void onClaimed(String model, long version) {
        boolean bounded = versions.newest(model) > 0;
        if (bounded && isPublished(model, version)) {
            return;
        }
        long now = nowMillis.getAsLong();
        if (firstClaimedAt.putIfAbsent(new Claim(model, version), now) != null) {
            return;
        }
        forgetOldest();
        if (bounded && now - readRequestedAt >= READ_INTERVAL_MILLIS) {
            readRequestedAt = now;
            read.run();
        }
    }

    private void forgetOldest() {
        if (firstClaimedAt.size() > MAX_CLAIMS) {
            firstClaimedAt.remove(firstClaimedAt.keySet().iterator().next());
        }
    }

    @Override
    public boolean isPublished(String model, long version) {
        return version <= versions.newestServable(model);
    }

    @Override
    public boolean mayBePublished(String model, long version) {
        if (isPublished(model, version)) {
            return true;
        }
        Long claimedAt = firstClaimedAt.get(new Claim(model, version));
        return claimedAt != null && !versions.isReadSince(claimedAt);
    }
}
