package org.rattanrudder.daemon.relay.port;

import java.util.Optional;

/**
 * A record of a topic that keeps the newest record of each key.
 *
 * @param offset its offset in the topic
 * @param key its key
 * @param value its value; empty if the key was removed
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value) {}
