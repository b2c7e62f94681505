package org.wagtaillug.tool.account;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;

/** The arithmetic mean of a series of values. */
final class Mean {
    private static final double TENTHS = 10;

    private long count;
    private long total;

    void add(OptionalLong value) {
        value.ifPresent(present -> {
            count++;
            total += present;
        });
    }

    /** Writes the mean with one decimal place, if there are values. */
    void write(String name, ObjectNode row) {
        if (count > 0) {
            row.put(name, Math.round(TENTHS * total / count) / TENTHS);
        }
    }
}
