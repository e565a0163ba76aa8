package org.rattanrudder.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;

/**
 * Exchanges configuration between processes while one of them can't learn it from the log.
 *
 * <p>What a peer holds was accepted by the log, so it can be taken without asking which of the two is right: only a
 * higher revision replaces one in force. When the log comes back, its records below what the peer had read are known
 * already, and those above are decided as everywhere.
 */
public final class PeerConfigurationExchange {
    /** The least time between two questions, in microseconds. */
    static final long ASK_MICROS = 1_000_000;

    private final ConfigurationLedger ledger;
    private boolean logReadable;
    private long nextAskMicros;

    /** Serves and fills this ledger; until the first read the log counts as not readable. */
    public PeerConfigurationExchange(ConfigurationLedger ledger) {
        this.ledger = ledger;
    }

    /** Takes note that the configuration stream was read. */
    public void onLogRead() {
        logReadable = true;
    }

    /** Takes note that the configuration stream couldn't be read. */
    public void onLogReadFailed() {
        logReadable = false;
    }

    /** Returns whether the log alone doesn't tell this process what is in force. */
    public boolean needsPeers() {
        return !logReadable || !ledger.isComplete();
    }

    /**
     * Returns the question to a peer that has just linked, if there is one: a process that starts during an outage
     * knows nothing, and its peer may.
     */
    public Optional<Frame> requestOnLinkOpened(long nowMicros) {
        return needsPeers() && ledger.lastOffset() == 0 ? ask(nowMicros) : Optional.empty();
    }

    /**
     * Returns the question to a peer whose heartbeat shows newer revisions, if there is one.
     *
     * @param revisions what is in force at the peer
     * @param nowMicros the time in microseconds
     */
    public Optional<Frame> requestOnHeartbeat(List<Frame.ServiceRevision> revisions, long nowMicros) {
        if (!needsPeers() || nowMicros < nextAskMicros) {
            return Optional.empty();
        }
        boolean newer = revisions.stream().anyMatch(each -> each.revision() > ledger.revision(each.service()));
        return newer ? ask(nowMicros) : Optional.empty();
    }

    /**
     * Returns the answer to a peer's question, a frame for each document, so that no frame outgrows the link's limit.
     *
     * @param request the question
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

    private Optional<Frame> ask(long nowMicros) {
        nextAskMicros = nowMicros + ASK_MICROS;
        return Optional.of(new Frame.ConfigurationRequest(ledger.lastOffset()));
    }
}
