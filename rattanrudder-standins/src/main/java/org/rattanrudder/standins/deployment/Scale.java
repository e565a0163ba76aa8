package org.rattanrudder.standins.deployment;

/**
 * Scales the sizes in example documents down to one machine: a token takes 128 bytes, so a block of 2,000 tokens takes
 * 256,000 bytes; a link moves a block in 20 ms, a fifth of the time that the engine needs to compute it.
 */
final class Scale {
    private Scale() {}

    static String apply(String text) {
        return text.replaceAll("\"bytesPerToken\": \\d+", "\"bytesPerToken\": 128")
                .replace("\"linkBytesPerSecond\": 1250000000", "\"linkBytesPerSecond\": 12500000")
                .replace("\"linkBytesPerSecond\": 2500000000", "\"linkBytesPerSecond\": 25000000");
    }
}
