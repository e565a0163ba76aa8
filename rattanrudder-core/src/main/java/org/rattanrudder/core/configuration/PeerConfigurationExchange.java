package org.rattanrudder.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;

/**
 * Exchanges configuration between processes while one of them can't read it from the log.
 *
 * <p>Every revision that a peer has was accepted in the log, so conflicts need no resolution: a received revision
 * replaces the one in force only if it is higher. When the log becomes readable again, records up to the offset that
 * the peer had read are skipped, and later ones are decided as usual.
 */
public final class PeerConfigurationExchange {
    /** The minimum time between two requests, in microseconds. */
    static final long MIN_REQUEST_INTERVAL_MICROS = 1_000_000;

    private final ConfigurationLedger ledger;
    private boolean logReadable;
    private long nextRequestMicros;

    /** Creates an exchange for a ledger. The log counts as unreadable until its first read. */
    public PeerConfigurationExchange(ConfigurationLedger ledger) {
        this.ledger = ledger;
    }

    /** Records that the configuration stream was read. */
    public void onLogRead() {
        logReadable = true;
    }

    /** Records that the configuration stream couldn't be read. */
    public void onLogReadFailed() {
        logReadable = false;
    }

    /** Returns whether this process can't determine the documents in force from the log alone. */
    public boolean needsPeers() {
        return !logReadable || !ledger.isComplete();
    }

    /** Returns whether records from peers are of use: they may bring documents that this process doesn't have. */
    public boolean acceptsRecords() {
        return needsPeers() || ledger.lacksText();
    }

    /**
     * Returns the request to send to a peer whose link has just opened, if any: a process that starts during an outage
     * of the log has no configuration, and its peer may have it.
     */
    public Optional<Frame> requestOnLinkOpened(long nowMicros) {
        return needsPeers() && ledger.lastOffset() == 0 ? newRequest(nowMicros) : Optional.empty();
    }

    /**
     * Returns the request to send to a peer whose heartbeat lists newer revisions, or one whose text is missing here,
     * if any.
     *
     * @param revisions the revisions in force at the peer
     * @param nowMicros the time in microseconds
     */
    public Optional<Frame> requestOnHeartbeat(List<Frame.ServiceRevision> revisions, long nowMicros) {
        if (!acceptsRecords() || nowMicros < nextRequestMicros) {
            return Optional.empty();
        }
        return revisions.stream().anyMatch(this::isWanted) ? newRequest(nowMicros) : Optional.empty();
    }

    private boolean isWanted(Frame.ServiceRevision offered) {
        long known = ledger.revision(offered.service());
        return needsPeers() && offered.revision() > known
                || offered.revision() >= known && ledger.lacksText(offered.service());
    }

    /**
     * Returns the response to a peer's request, with one frame for each document, so that no frame exceeds the link's
     * size limit.
     *
     * @param request the request
     */
    public List<Frame> answer(Frame.ConfigurationRequest request) {
        List<Frame> frames = new ArrayList<>();
        if (ledger.lastOffset() < request.fromOffset()) {
            return frames;
        }
        for (LogRecord record : ledger.snapshot()) {
            frames.add(new Frame.ConfigurationRecords(List.of(record)));
        }
        return frames;
    }

    private Optional<Frame> newRequest(long nowMicros) {
        nextRequestMicros = nowMicros + MIN_REQUEST_INTERVAL_MICROS;
        return Optional.of(new Frame.ConfigurationRequest(ledger.lastOffset()));
    }
}
