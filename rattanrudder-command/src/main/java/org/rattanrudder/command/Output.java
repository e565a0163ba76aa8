package org.rattanrudder.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.operator.OperatorJson;

/** Where a command writes: text for people, or one JSON value for machines. */
final class Output {
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    Output(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    boolean isJson() {
        return json;
    }

    /** Writes a line for people; nothing where JSON was asked for. */
    void line(String text) {
        if (!json) {
            out.println(text);
        }
    }

    /** Writes a text as it is, without a line end of its own. */
    void raw(String text) {
        out.print(text);
    }

    /** Writes the value where JSON was asked for; nothing otherwise. */
    void value(Object value) {
        if (json) {
            out.println(OperatorJson.write(value));
        }
    }

    /** Writes a line on the error stream, in both forms. */
    void problem(String text) {
        err.println(text);
    }

    /** Writes rows in aligned columns, the first row being the heading. */
    void table(List<List<String>> rows) {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int column = 0; column < columns; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        for (List<String> row : rows) {
            List<String> cells = new ArrayList<>();
            for (int column = 0; column < columns; column++) {
                cells.add(String.format("%-" + Math.max(1, widths[column]) + "s", row.get(column)));
            }
            line(String.join("  ", cells).stripTrailing());
        }
    }
}
