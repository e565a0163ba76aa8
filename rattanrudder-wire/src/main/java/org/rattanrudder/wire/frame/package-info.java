/**
 * The bytes of a frame: {@link org.rattanrudder.wire.frame.FrameCodec} turns a {@code Frame} into bytes and back.
 */
package org.rattanrudder.wire.frame;
