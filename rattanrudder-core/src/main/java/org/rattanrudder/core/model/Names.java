package org.rattanrudder.core.model;

import java.util.regex.Pattern;

/** Checks the common form of the names of services, customers, targets and instances. */
final class Names {
    static final int MAX_LENGTH = 63;
    private static final Pattern PATTERN = Pattern.compile("[a-z0-9]([a-z0-9._-]*[a-z0-9])?");

    private Names() {}

    static String check(String what, String value) {
        if (value.length() > MAX_LENGTH || !PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException(what + " \"" + value + "\" is not a name: up to " + MAX_LENGTH
                    + " lower-case letters, digits, dots, dashes and underscores");
        }
        return value;
    }
}
