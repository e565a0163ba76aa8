/**
 * The bytes of a log record: {@link org.rattanrudder.wire.log.LogCodec} turns a {@code LogBatch} into the body of an
 * append and back.
 *
 * <pre>{@code
 * byte[] body = LogCodec.encode(batch);
 * Optional<LogBatch> read = LogCodec.decode(body);
 * }</pre>
 */
package org.rattanrudder.wire.log;
