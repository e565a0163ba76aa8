package org.rattanrudder.standins.load;

/** Makes prompt texts of a given length. Texts of different names share no piece. */
public final class PromptText {
    private static final int BYTES_PER_TOKEN = 4;

    private PromptText() {}

    /** Returns a text of about so many tokens in which every line names the context. */
    public static String of(String name, int tokens) {
        StringBuilder text = new StringBuilder(tokens * BYTES_PER_TOKEN + name.length());
        for (int line = 0; text.length() < tokens * BYTES_PER_TOKEN; line++) {
            text.append(name).append(" line ").append(line).append(": 48 l diesel, pump 3; ");
        }
        text.setLength(tokens * BYTES_PER_TOKEN);
        return text.toString();
    }
}
