package org.rattanrudder.daemon.relay.serving;

import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import org.rattanrudder.core.gateway.PromptPart;
import org.rattanrudder.core.parts.PartChoice;

/** Formats the cache decisions for the shared parts of a prompt as comma-separated {@code id:tokens:choice}. */
final class PartChoiceFormat {
    /** A prompt may have any number of parts; only the last ones are logged, which usually are the largest. */
    private static final int MAX_PARTS = 8;

    private PartChoiceFormat() {}

    /** Returns the IDs of the last parts of a prompt, separated by commas; the very last belongs to it alone. */
    static String ids(List<PromptPart> parts) {
        return parts.stream()
                .skip(Math.max(0, parts.size() - MAX_PARTS))
                .map(PromptPart::id)
                .collect(Collectors.joining(","));
    }

    /** Returns the text; empty if no decision was made because the prompt shares no part or no store is known. */
    static String format(List<PromptPart> parts, List<PartChoice> choices) {
        StringJoiner text = new StringJoiner(",");
        for (int index = Math.max(0, choices.size() - MAX_PARTS); index < choices.size(); index++) {
            PromptPart part = parts.get(index);
            text.add(part.id() + ":" + part.tokens() + ":"
                    + choices.get(index).name().toLowerCase(Locale.ROOT));
        }
        return text.toString();
    }
}
