package org.rattanrudder.standins;

import org.rattanrudder.core.model.Address;

/**
 * How a stand-in engine behaves.
 *
 * @param blockCapacity how many blocks its prefix cache holds
 * @param runningLimit how many requests it runs at once
 * @param prefillMicrosPerToken time to compute one token of a prompt
 * @param decodeMicrosPerToken time to make one token of every running answer
 * @param prefillChunkTokens the most prompt tokens computed in one step
 * @param pieceTokens tokens in one block where a request doesn't say
 * @param bytesPerToken size of one token's KV cache
 * @param eventDelayMillis how late cache events show
 * @param eventGapEvery each such event is lost; 0 for none
 * @param loadLagMillis how old a load report may be
 * @param checksFencing whether an order with an old fencing number is refused
 * @param keepMillis how long a stream can be resumed after its end or after its reader went
 * @param model the model that it holds at first
 * @param version the weight version that it holds at first
 * @param weightStore where weights are loaded from; empty for nowhere: a load then takes no time
 */
record EngineSettings(
        int blockCapacity,
        int runningLimit,
        long prefillMicrosPerToken,
        long decodeMicrosPerToken,
        int prefillChunkTokens,
        int pieceTokens,
        int bytesPerToken,
        long eventDelayMillis,
        int eventGapEvery,
        long loadLagMillis,
        boolean checksFencing,
        long keepMillis,
        String model,
        String version,
        String weightStore) {

    /** Reads the settings from options. */
    static EngineSettings of(Options options) {
        EngineSettings settings = new EngineSettings(
                (int) options.number("block_capacity", 32),
                (int) options.number("running_limit", 8),
                options.number("prefill_micros_per_token", 50),
                options.number("decode_micros_per_token", 2_000),
                (int) options.number("prefill_chunk_tokens", 512),
                (int) options.number("piece_tokens", 2_048),
                (int) options.number("bytes_per_token", 64),
                options.number("event_delay_millis", 100),
                (int) options.number("event_gap_every", 0),
                options.number("load_lag_millis", 200),
                options.flag("checks_fencing", true),
                options.number("keep_millis", 5_000),
                options.text("model", "model"),
                options.text("version", "1"),
                options.text("weight_store", ""));
        options.refuseUnread();
        if (!settings.weightStore.isEmpty()) {
            Address.parse(settings.weightStore);
        }
        return settings;
    }
}
