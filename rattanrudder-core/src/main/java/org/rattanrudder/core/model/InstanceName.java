package org.rattanrudder.core.model;

/**
 * The name of an instance.
 *
 * @param value up to 63 lower-case letters, digits, dots, dashes and underscores
 */
public record InstanceName(String value) {
    /** Throws an {@link IllegalArgumentException} if the value has another form. */
    public InstanceName {
        Names.check("instance", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
