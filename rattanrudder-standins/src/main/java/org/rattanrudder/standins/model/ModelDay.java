package org.rattanrudder.standins.model;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The shape of a day, as a file in JSON with comments says it.
 *
 * @param seconds how long requests arrive
 * @param relays how many relays
 * @param engines how many engines
 * @param failureDomains how many domains relays and engines stand in, evenly
 * @param queue requests that wait at most at an engine
 * @param costs what an engine's work costs
 * @param stores where context is kept for all engines
 * @param dark engines without power for a while
 * @param limited engines that name a rate limit for a while
 * @param resting engines that turn requests away and ask for rest for a while
 * @param classes the kinds of request
 */
public record ModelDay(
        double seconds,
        int relays,
        int engines,
        int failureDomains,
        int queue,
        Costs costs,
        Stores stores,
        Dark dark,
        Limited limited,
        Resting resting,
        List<Kind> classes) {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    /** Takes a copy of the classes. */
    public ModelDay {
        classes = List.copyOf(classes);
        require(seconds > 0, "seconds", "above 0");
        require(relays > 0, "relays", "above 0");
        require(engines > 0, "engines", "above 0");
        require(failureDomains > 0, "failureDomains", "above 0");
        require(stores.count() > 0, "stores.count", "above 0");
        require(dark.share() >= 0 && dark.share() < 1, "dark.share", "from 0 to below 1");
        require(limited.share() >= 0 && limited.share() <= 1, "limited.share", "from 0 to 1");
        require(resting.share() >= 0 && resting.share() <= 1, "resting.share", "from 0 to 1");
        require(!classes.isEmpty(), "classes", "at least one");
    }

    /**
     * What an engine's work costs; see {@link EngineCosts} for the units.
     *
     * @param slots requests that run at once
     * @param memoryTokens memory in tokens
     * @param blockTokens size of a block
     * @param chunkTokens prompt tokens a step
     * @param stepMillis a step without anything else
     * @param stepMillisPerRun what each running request adds
     * @param prefillTokensPerMilli prompt tokens that are read in a ms
     * @param fetchTokensPerMilli tokens that are fetched in a ms
     * @param setupMillis before a request is looked at
     */
    public record Costs(
            int slots,
            long memoryTokens,
            int blockTokens,
            int chunkTokens,
            double stepMillis,
            double stepMillisPerRun,
            double prefillTokensPerMilli,
            double fetchTokensPerMilli,
            double setupMillis) {
        EngineCosts engine() {
            return new EngineCosts(
                    slots,
                    memoryTokens,
                    blockTokens,
                    chunkTokens,
                    Math.round(stepMillis * 1_000),
                    Math.round(stepMillisPerRun * 1_000),
                    prefillTokensPerMilli,
                    fetchTokensPerMilli,
                    Math.round(setupMillis * 1_000));
        }
    }

    /**
     * The context stores.
     *
     * @param count how many
     * @param tokensPerMilli tokens that the link of one carries in a ms
     */
    public record Stores(int count, double tokensPerMilli) {}

    /**
     * Engines that lose power.
     *
     * @param share the part of the engines
     * @param atSeconds when
     * @param forSeconds for how long
     */
    public record Dark(double share, double atSeconds, double forSeconds) {}

    /**
     * Engines that name a rate limit, the last ones by number.
     *
     * @param share the part of the engines
     * @param requestsPerSecond the limit
     * @param atSeconds from when
     * @param forSeconds for how long
     */
    public record Limited(double share, double requestsPerSecond, double atSeconds, double forSeconds) {}

    /**
     * Engines that turn all requests away, the last ones by number.
     *
     * @param share the part of the engines
     * @param restSeconds the rest that they ask for
     * @param atSeconds from when
     * @param forSeconds for how long
     */
    public record Resting(double share, double restSeconds, double atSeconds, double forSeconds) {}

    /**
     * A kind of request.
     *
     * @param name its name
     * @param perSecond how many arrive, at all relays together
     * @param objectiveMillis until the first token
     * @param deadlineMillis until the end
     * @param rank 0 first
     * @param ownTokens the mean of its own part
     * @param outputTokens the mean of its output
     * @param spread of the sizes, as the deviation of their logarithm
     * @param roots how many parts all its prompts begin with, and their size
     * @param contexts how many contexts its prompts share, and their size
     */
    public record Kind(
            String name,
            double perSecond,
            long objectiveMillis,
            long deadlineMillis,
            int rank,
            int ownTokens,
            int outputTokens,
            double spread,
            Shared roots,
            Shared contexts) {}

    /**
     * Parts that prompts share.
     *
     * @param count how many there are
     * @param tokens the mean of their size
     */
    public record Shared(int count, int tokens) {}

    private static void require(boolean holds, String field, String expected) {
        if (!holds) {
            throw new IllegalArgumentException(field + ": expected " + expected);
        }
    }

    /** Reads a day from text; what is wrong is named. */
    public static ModelDay parse(String text) throws IOException {
        JsonNode tree = MAPPER.readTree(text);
        return MAPPER.treeToValue(tree, ModelDay.class);
    }

    /** Reads a day from a file. */
    public static ModelDay read(Path file) throws IOException {
        return parse(Files.readString(file));
    }
}
