package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Formats a list of JSON objects as a text table. */
final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<String> columns;
    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with one column for each of the given fields. */
    Table(List<String> columns) {
        this.columns = List.copyOf(columns);
        rows.add(columns.stream().map(name -> name.replace('_', ' ')).toList());
    }

    Table rows(JsonNode objects) {
        for (JsonNode object : objects) {
            List<String> row = new ArrayList<>();
            for (String column : columns) {
                row.add(cell(object.path(column)));
            }
            rows.add(row);
        }
        return this;
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isBoolean()) {
            return value.booleanValue() ? "yes" : "no";
        }
        return value.isTextual() ? value.textValue() : value.toString();
    }

    String text() {
        int[] widths = new int[columns.size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < widths.length; column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(widths[column] - cell.length()))
                        .append(COLUMN_GAP);
            }
            text.append(text.isEmpty() ? "" : "\n").append(line.toString().stripTrailing());
        }
        return text.toString();
    }
}
