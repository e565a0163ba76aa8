package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.List;

/** Compares two texts line by line by their longest common subsequence. */
final class LineDiff {
    private static final int CONTEXT = 2;

    private LineDiff() {}

    /** Returns the lines that differ, marked by plus and minus, with two lines around them; empty for equal texts. */
    static List<String> of(String before, String after) {
        List<String> left = before.lines().toList();
        List<String> right = after.lines().toList();
        int[][] common = commonLengths(left, right);
        List<String> marked = new ArrayList<>();
        int row = 0;
        int column = 0;
        while (row < left.size() || column < right.size()) {
            boolean bothLeft = row < left.size() && column < right.size();
            if (bothLeft && left.get(row).equals(right.get(column))) {
                marked.add("  " + left.get(row));
                row++;
                column++;
                continue;
            }
            if (column == right.size() || row < left.size() && common[row + 1][column] >= common[row][column + 1]) {
                marked.add("- " + left.get(row));
                row++;
                continue;
            }
            marked.add("+ " + right.get(column));
            column++;
        }
        return aroundChanges(marked);
    }

    private static int[][] commonLengths(List<String> left, List<String> right) {
        int[][] common = new int[left.size() + 1][right.size() + 1];
        for (int row = left.size() - 1; row >= 0; row--) {
            for (int column = right.size() - 1; column >= 0; column--) {
                common[row][column] = left.get(row).equals(right.get(column))
                        ? common[row + 1][column + 1] + 1
                        : Math.max(common[row + 1][column], common[row][column + 1]);
            }
        }
        return common;
    }

    private static List<String> aroundChanges(List<String> marked) {
        List<String> shown = new ArrayList<>();
        boolean skipped = false;
        for (int line = 0; line < marked.size(); line++) {
            int from = Math.max(0, line - CONTEXT);
            int until = Math.min(marked.size(), line + CONTEXT + 1);
            boolean near = marked.subList(from, until).stream().anyMatch(each -> !each.startsWith("  "));
            if (near && skipped && !shown.isEmpty()) {
                shown.add("...");
            }
            if (near) {
                shown.add(marked.get(line));
            }
            skipped = !near;
        }
        return shown;
    }
}
