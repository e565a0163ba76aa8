package org.rattanrudder.core.model;

/**
 * The name of a customer.
 *
 * @param value up to 63 lower-case letters, digits, dots, dashes and underscores
 */
public record CustomerName(String value) {
    /** Throws an {@link IllegalArgumentException} if the value has another form. */
    public CustomerName {
        Names.check("customer", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
