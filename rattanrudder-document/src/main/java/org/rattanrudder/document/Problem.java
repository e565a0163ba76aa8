package org.rattanrudder.document;

/**
 * One thing that is wrong in a text.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param message what was expected and what stands there, on one line
 */
public record Problem(int line, int column, String message) {
    /** Returns the problem as compilers print it: file, line, column and message. */
    public String in(String file) {
        return file + ":" + line + ":" + column + ": " + message;
    }

    @Override
    public String toString() {
        return "line " + line + ", column " + column + ": " + message;
    }
}
