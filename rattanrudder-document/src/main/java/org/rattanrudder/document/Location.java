package org.rattanrudder.document;

/**
 * A place in a text.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param offset the number of characters before it
 */
record Location(int line, int column, int offset) {}
