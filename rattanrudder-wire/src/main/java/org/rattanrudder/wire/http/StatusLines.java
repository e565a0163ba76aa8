package org.rattanrudder.wire.http;

import java.util.regex.Pattern;

/** Recognizes status lines, also where they stand within another line of a head. */
public final class StatusLines {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");

    private static final Pattern BEGINNING = Pattern.compile("HTTP/\\d\\.\\d[ \\t]+\\d");

    private StatusLines() {}

    /** Returns whether a text is the version with which a status line begins. */
    public static boolean isVersion(CharSequence text) {
        return VERSION.matcher(text).matches();
    }

    /** Returns whether a status line stands in a text, as it does where a line that was cut runs on into one. */
    public static boolean isWithin(CharSequence text) {
        return BEGINNING.matcher(text).find();
    }
}
