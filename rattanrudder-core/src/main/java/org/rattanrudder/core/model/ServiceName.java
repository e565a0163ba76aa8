package org.rattanrudder.core.model;

/**
 * The name of a service.
 *
 * @param value up to 63 lower-case letters, digits, dots, dashes and underscores
 */
public record ServiceName(String value) {
    /** Throws an {@link IllegalArgumentException} if the value has another form. */
    public ServiceName {
        Names.check("service", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
