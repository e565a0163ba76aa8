package org.rattanrudder.core.log;

/**
 * A batch as read back from the log.
 *
 * @param offset its offset in the stream; conflicts are decided by this order
 * @param batch the appended batch
 */
public record LogRecord(long offset, LogBatch batch) {}
