package io.oleandermoor.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Prints rows in columns of equal width. */
final class Table {

    private final List<List<String>> rows = new ArrayList<>();

    Table(String... titles) {
        rows.add(List.of(titles));
    }

    void add(Object... cells) {
        rows.add(Arrays.stream(cells).map(String::valueOf).toList());
    }

    void print(PrintStream output) {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < widths.length; column++) {
                line.append(row.get(column))
                        .append(" ".repeat(widths[column] - row.get(column).length() + 2));
            }
            output.println(line.toString().stripTrailing());
        }
    }
}
