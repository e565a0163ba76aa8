package org.rattanrudder.daemon.companion;

import java.util.Optional;
import org.rattanrudder.core.call.Usage;

/**
 * One server-sent event of an engine.
 *
 * @param number its number; -1 if the engine gave none
 * @param bytes the event as callers get it
 * @param weightVersion the version that made it; empty if the engine didn't say
 * @param usage what the answer cost, in the event that says so
 * @param isDone whether it is the mark after the last event
 */
record EngineEvent(long number, byte[] bytes, String weightVersion, Optional<Usage> usage, boolean isDone) {}
