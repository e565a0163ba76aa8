package org.rattanrudder.core.model;

/**
 * The name of a target.
 *
 * @param value up to 63 lower-case letters, digits, dots, dashes and underscores
 */
public record TargetName(String value) {
    /** Throws an {@link IllegalArgumentException} if the value has another form. */
    public TargetName {
        Names.check("target", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
