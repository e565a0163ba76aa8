package org.rattanrudder.document;

/**
 * A value that a text leaves out and the parser filled in.
 *
 * @param path where it would stand, such as {@code limits.queueLength}
 * @param value the value as it would be written
 */
public record DefaultValue(String path, String value) {
    @Override
    public String toString() {
        return path + " = " + value;
    }
}
