package org.rattanrudder.daemon.relay;

import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;
import org.rattanrudder.core.gateway.PromptPart;
import org.rattanrudder.core.parts.PartChoice;

/** Writes what was decided for the shared parts of a prompt, as {@code id:tokens:choice}, with commas between. */
final class PartsText {
    /** Prompts may name any number of parts; a line tells of the last ones, which are the largest as a rule. */
    private static final int MOST = 8;

    private PartsText() {}

    /** Returns the text; empty if nothing was decided, since the prompt shares nothing or no store is known. */
    static String of(List<PromptPart> parts, List<PartChoice> choices) {
        StringJoiner text = new StringJoiner(",");
        for (int index = Math.max(0, choices.size() - MOST); index < choices.size(); index++) {
            PromptPart part = parts.get(index);
            text.add(part.id() + ":" + part.tokens() + ":"
                    + choices.get(index).name().toLowerCase(Locale.ROOT));
        }
        return text.toString();
    }
}
