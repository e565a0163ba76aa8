package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.TargetName;

/** Effects that a companion's state machine requests from the daemon. */
public sealed interface CompanionEffect {
    /**
     * Send a frame to an entry; it is lost if the link has been closed.
     *
     * @param link the link
     * @param frame the frame
     */
    record SendFrame(long link, Frame frame) implements CompanionEffect {}

    /**
     * Close a link; no event follows.
     *
     * @param link the link
     */
    record CloseLink(long link) implements CompanionEffect {}

    /**
     * Call a plain service, once: a call whose connection fails is not retried.
     *
     * @param attempt the attempt
     * @param target the target's address
     * @param call the call
     */
    record StartCall(AttemptId attempt, Address target, Call call) implements CompanionEffect {}

    /**
     * Send a prompt to an engine. The daemon adds salt, priority and request id to the caller's body in the engine's
     * protocol.
     *
     * @param attempt the attempt
     * @param target the engine's address
     * @param call the call
     * @param cacheSalt the salt from which the prompt's block names are derived; it scopes the engine's prefix cache
     * @param priority the priority; 0 is the most urgent
     * @param pieceTokens number of tokens in one block
     */
    record StartPrompt(AttemptId attempt, Address target, Call call, Digest cacheSalt, int priority, int pieceTokens)
            implements CompanionEffect {}

    /**
     * Resume the stream of an attempt at the engine after its connection failed.
     *
     * @param attempt the attempt
     * @param target the engine's address
     * @param fromChunk number of the first missing chunk
     */
    record ResumePrompt(AttemptId attempt, Address target, long fromChunk) implements CompanionEffect {}

    /**
     * Cancel the call, also at the target if its protocol allows it. No event of the attempt follows.
     *
     * @param attempt the attempt
     */
    record CancelCall(AttemptId attempt) implements CompanionEffect {}

    /**
     * Read more of the target's answer; this applies the back-pressure of a slow caller. A call starts with a window of
     * {@link #INITIAL_WINDOW_CHUNKS}.
     *
     * @param attempt the attempt
     * @param chunks how many more chunks may be read
     */
    record ReadMore(AttemptId attempt, int chunks) implements CompanionEffect {}

    /** Number of chunks of an answer that may be read before the first {@link ReadMore}. */
    int INITIAL_WINDOW_CHUNKS = 64;

    /**
     * Look up which blocks a store has committed. {@link CompanionEvent.BlockLookupEnded} follows.
     *
     * @param lookup the number of the lookup
     * @param store the store's address
     * @param blocks the blocks' names
     */
    record LookUpBlocks(long lookup, Address store, List<Digest> blocks) implements CompanionEffect {}

    /**
     * Move a block from a store into an engine's cache. {@link CompanionEvent.MoveEnded} follows.
     *
     * <p>If the store or the block has changed since the lookup, the slot of the block may hold another block, or part
     * of one. So the daemon imports only what passes every check:
     *
     * <ol>
     *   <li>the first answer is marked as committed, with the incarnation, generation and length of {@code block};
     *       otherwise GONE;
     *   <li>the content has the length and the SHA-256 digest of {@code block}; otherwise CORRUPT;
     *   <li>a HEAD request after the last byte returns the same incarnation and generation, still committed; otherwise
     *       GONE, since the slot was freed or reused during the read;
     *   <li>the engine accepts it for {@code weightVersion}; if that isn't its active version (409), GONE.
     * </ol>
     *
     * <p>If the store or the engine doesn't answer, the outcome is UNREACHABLE. A move is aborted, and ends, within
     * {@link #MOVE_TIMEOUT_MICROS}, since its bytes count against the budgets of the links until then.
     *
     * @param move the number of the move
     * @param store the store's address
     * @param block the block as the store described it
     * @param target the engine's address
     * @param parent the name of the preceding block; the cache salt for the first block
     * @param weightVersion the weight version that it belongs to
     */
    record FetchBlock(
            long move,
            Address store,
            CompanionEvent.StoredBlock block,
            Address target,
            Digest parent,
            String weightVersion)
            implements CompanionEffect {}

    /**
     * Copy a block from an engine's cache to a store. {@link CompanionEvent.MoveEnded} follows.
     *
     * <p>The block becomes readable only with its commit, so that a daemon or store that fails during the copy leaves
     * no partial block to be read. The daemon checks, in this order:
     *
     * <ol>
     *   <li>the engine has the block for {@code weightVersion}, and its bytes match the engine's digest; otherwise
     *       GONE;
     *   <li>the store starts the write and returns incarnation and generation; 507 means FULL;
     *   <li>all bytes are written for that generation;
     *   <li>the commit, with length and digest, is accepted for it; a refusal (409) means GONE. Without an answer to
     *       the commit the outcome is UNREACHABLE: the complete block may be readable, and a lookup will show it.
     * </ol>
     *
     * <p>It is aborted, and ends, within {@link #MOVE_TIMEOUT_MICROS}.
     *
     * @param move the number of the move
     * @param target the engine's address
     * @param block the block's name
     * @param weightVersion the weight version that it must belong to
     * @param store the store's address
     */
    record ExportBlock(long move, Address target, Digest block, String weightVersion, Address store)
            implements CompanionEffect {}

    /** Timeout of a block move. */
    long MOVE_TIMEOUT_MICROS = 30_000_000;

    /**
     * Free a block in a store, to make room for a more valuable one. No event follows.
     *
     * @param store the store's address
     * @param block the block's name
     */
    record DropBlock(Address store, Digest block) implements CompanionEffect {}

    /**
     * Send a target the order to reach a desired state. {@link CompanionEvent.OrderAnswered} follows.
     *
     * @param name the target's name
     * @param target the target's address
     * @param fencing the fencing number, which is a log offset
     * @param model the model to load
     * @param version the weight version to serve
     * @param adapters the adapters to load
     */
    record SendOrder(TargetName name, Address target, long fencing, String model, String version, List<String> adapters)
            implements CompanionEffect {}

    /**
     * Query the state of a target's last order. {@link CompanionEvent.OrderAnswered} follows, with the fencing number
     * of that order.
     *
     * @param name the target's name
     * @param target the target's address
     */
    record QueryLastOrder(TargetName name, Address target) implements CompanionEffect {}

    /**
     * Start to watch a target's load and cache events, or restart after its address changed.
     *
     * @param name the target's name
     * @param target the target's address
     * @param engine whether it is an engine, with cache events and a weight version
     */
    record WatchTarget(TargetName name, Address target, boolean engine) implements CompanionEffect {}

    /**
     * Stop watching a target.
     *
     * @param name the target's name
     */
    record UnwatchTarget(TargetName name) implements CompanionEffect {}

    /**
     * Append a batch to the log. {@link CompanionEvent.AppendSettled} follows.
     *
     * @param stream the stream
     * @param batch the batch
     */
    record Append(LogStream stream, LogBatch batch) implements CompanionEffect {}

    /**
     * Write an event to the operators' event log.
     *
     * @param event the fixed name of the event, such as {@code link_silent}
     * @param fields alternating keys and values
     */
    record LogEvent(String event, List<String> fields) implements CompanionEffect {}

    /** The drain is complete and the process may exit: nothing is running and no attempt will be accepted. */
    record Drained() implements CompanionEffect {}
}
