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

/** What a companion's machine asks the daemon to do. */
public sealed interface CompanionEffect {
    /**
     * Send a frame to an entry; lost if the link is gone.
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
     * Call a plain service. Tried once: a connection that breaks is never tried again.
     *
     * @param attempt the attempt
     * @param target the target's address
     * @param call the call
     */
    record StartCall(AttemptId attempt, Address target, Call call) implements CompanionEffect {}

    /**
     * Ask an engine. The daemon adds salt, priority and request id to the caller's body in the engine's protocol.
     *
     * @param attempt the attempt
     * @param target the engine's address
     * @param call the call
     * @param cacheSalt the root of the prompt's block names: it scopes the engine's prefix cache
     * @param priority 0 goes first
     * @param pieceTokens tokens in one block
     */
    record StartPrompt(AttemptId attempt, Address target, Call call, Digest cacheSalt, int priority, int pieceTokens)
            implements CompanionEffect {}

    /**
     * Take up the stream of an attempt at the engine again after the connection to it broke.
     *
     * @param attempt the attempt
     * @param target the engine's address
     * @param fromChunk the first chunk that is missing
     */
    record ResumePrompt(AttemptId attempt, Address target, long fromChunk) implements CompanionEffect {}

    /**
     * Stop the call: the target is told where its protocol allows it. No event of the attempt follows.
     *
     * @param attempt the attempt
     */
    record CancelCall(AttemptId attempt) implements CompanionEffect {}

    /**
     * Read more of the target's answer: back-pressure from a slow caller. A call starts with a window of
     * {@link #INITIAL_WINDOW_CHUNKS}.
     *
     * @param attempt the attempt
     * @param chunks how many more chunks may be read
     */
    record ReadMore(AttemptId attempt, int chunks) implements CompanionEffect {}

    /** How many chunks of an answer may be read before the first {@link ReadMore}. */
    int INITIAL_WINDOW_CHUNKS = 64;

    /**
     * Ask a store which blocks it has committed; answered by BlocksFound.
     *
     * @param lookup the number of the lookup
     * @param store the store's address
     * @param blocks the blocks' names
     */
    record LookUpBlocks(long lookup, Address store, List<Digest> blocks) implements CompanionEffect {}

    /**
     * Move a block from a store into an engine's cache; answered by MoveEnded.
     *
     * <p>Where the store or the block has changed since it was looked up, its slot may hold another block, or part of
     * one. So the daemon takes nothing on trust and imports only what passes every check:
     *
     * <ol>
     *   <li>the first answer says committed, with the incarnation, generation and length of {@code block}; else GONE;
     *   <li>what arrived has the length and the SHA-256 digest of {@code block}; else CORRUPT;
     *   <li>asked again after the last byte (HEAD), the store names the same incarnation and generation, still
     *       committed; else GONE: the slot was freed or reused while it was read;
     *   <li>the engine takes it for {@code weightVersion}; if that isn't its active version (409): GONE.
     * </ol>
     *
     * <p>A side that doesn't answer is UNREACHABLE. A move is broken off and ended within {@link #MOVE_TIMEOUT_MICROS}:
     * the links' budgets count its bytes until then.
     *
     * @param move the number of the move
     * @param store the store's address
     * @param block what the store said of it
     * @param target the engine's address
     * @param parent the name of the block before it; the cache salt for the first
     * @param weightVersion the version that it belongs to
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
     * Copy a block from an engine's cache to a store; answered by MoveEnded.
     *
     * <p>The block becomes readable only by its commit, so that a daemon or store that dies half-way leaves nothing
     * that anybody reads. The daemon checks, in this order:
     *
     * <ol>
     *   <li>the engine has the block, names {@code weightVersion} with it, and its bytes match the engine's digest;
     *       else GONE;
     *   <li>the store begins the write and names incarnation and generation; 507 is FULL;
     *   <li>all bytes are written under that generation;
     *   <li>the commit, with length and digest, is taken under it; a refusal (409) is GONE. Without an answer to the
     *       commit the outcome is UNREACHABLE: the block may be readable, whole, and a lookup will show it.
     * </ol>
     *
     * <p>It is broken off and ended within {@link #MOVE_TIMEOUT_MICROS}.
     *
     * @param move the number of the move
     * @param target the engine's address
     * @param block the block's name
     * @param weightVersion the version that it must belong to
     * @param store the store's address
     */
    record ExportBlock(long move, Address target, Digest block, String weightVersion, Address store)
            implements CompanionEffect {}

    /** The longest that a move may take, in microseconds. */
    long MOVE_TIMEOUT_MICROS = 30_000_000;

    /**
     * Free a block in a store, to make room for a better one. No event follows.
     *
     * @param store the store's address
     * @param block the block's name
     */
    record DropBlock(Address store, Digest block) implements CompanionEffect {}

    /**
     * Order a target to reach a desired state; answered by OrderAnswered.
     *
     * @param name the target's name
     * @param target the target's address
     * @param fencing the fencing number, from the log
     * @param model the model to hold
     * @param version the weight version to serve
     * @param adapters the adapters to hold
     */
    record SendOrder(TargetName name, Address target, long fencing, String model, String version, List<String> adapters)
            implements CompanionEffect {}

    /**
     * Ask a target what became of the last order; answered by OrderAnswered with that order's number.
     *
     * @param name the target's name
     * @param target the target's address
     */
    record QueryLastOrder(TargetName name, Address target) implements CompanionEffect {}

    /**
     * Watch a target's load and cache events from now on, or anew after its address changed.
     *
     * @param name the target's name
     * @param target the target's address
     * @param engine whether it is an engine with cache events and a weight version
     */
    record WatchTarget(TargetName name, Address target, boolean engine) implements CompanionEffect {}

    /**
     * Stop watching a target.
     *
     * @param name the target's name
     */
    record UnwatchTarget(TargetName name) implements CompanionEffect {}

    /**
     * Append a batch to the log; answered by AppendSettled.
     *
     * @param stream the stream
     * @param batch the batch
     */
    record Append(LogStream stream, LogBatch batch) implements CompanionEffect {}

    /**
     * Something that an operator may want to see in the log.
     *
     * @param event a fixed word for it, such as {@code lease_lapsed}
     * @param fields key, value, key, value and so on
     */
    record LogEvent(String event, List<String> fields) implements CompanionEffect {}

    /** Nothing runs any more and none will be taken: the process may end. */
    record Drained() implements CompanionEffect {}
}
