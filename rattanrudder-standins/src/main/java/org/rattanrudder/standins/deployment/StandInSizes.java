package org.rattanrudder.standins.deployment;

/**
 * What a layout's stand-ins can do, beyond what the documents say.
 *
 * @param engineBlocks blocks in each engine's prefix cache
 * @param storeBytes memory of each cache store
 * @param decodeMicrosPerToken time that an engine takes for a token of every running answer
 * @param listLagMillis lag of the instance list
 * @param appendRate appends a second that the log takes
 */
public record StandInSizes(
        int engineBlocks, long storeBytes, long decodeMicrosPerToken, long listLagMillis, int appendRate) {
    /** Sizes for one machine: an engine holds about four long prompts. */
    public static final StandInSizes SMALL = new StandInSizes(32, 64_000_000, 2_000, 2_000, 300);

    /** Sizes for experiments: the engines of a deployment together hold less than half of its contexts. */
    public static final StandInSizes EXPERIMENT = new StandInSizes(16, 48_000_000, 2_000, 2_000, 300);
}
