package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Lays out a list of JSON objects in columns. */
final class Table {
    private static final String GAP = "  ";

    private final List<String> columns;
    private final List<List<String>> rows = new ArrayList<>();

    /** A table with one column for each named field. */
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
                        .append(GAP);
            }
            text.append(text.isEmpty() ? "" : "\n").append(line.toString().stripTrailing());
        }
        return text.toString();
    }
}
