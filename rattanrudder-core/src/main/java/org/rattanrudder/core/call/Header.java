package org.rattanrudder.core.call;

/**
 * One HTTP header.
 *
 * @param name the name, case-insensitive
 * @param value the value
 */
public record Header(String name, String value) {}
