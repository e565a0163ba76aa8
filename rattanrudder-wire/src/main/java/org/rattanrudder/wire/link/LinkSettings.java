package org.rattanrudder.wire.link;

/**
 * The bounds of a link.
 *
 * @param frameBytes the largest frame that is taken or sent
 * @param pendingBytes the most bytes that wait to be sent before the link is given up
 * @param connectMillis how long connecting may take
 * @param helloMillis how long the peer may take to say hello
 */
public record LinkSettings(int frameBytes, long pendingBytes, int connectMillis, int helloMillis) {
    private static final int MEBIBYTE = 1 << 20;

    /**
     * Frames to 66 MiB, so that the largest body that a process may be set to take fits with its headers; 96 MiB
     * pending, two seconds to connect and two for the hello.
     */
    public static final LinkSettings DEFAULT = new LinkSettings(66 * MEBIBYTE, 96L * MEBIBYTE, 2_000, 2_000);
}
