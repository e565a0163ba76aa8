package org.rattanrudder.daemon.relay.port;

import java.util.Optional;
import org.rattanrudder.core.topics.LogPosition;

/**
 * A record of a topic that keeps the newest record of each key.
 *
 * @param position its position in the topic
 * @param key its key
 * @param value its value; empty if the key was removed
 */
public record KeyedRecord(LogPosition position, String key, Optional<byte[]> value) {}
