package org.wagtaillug.id;

/**
 * Identifies a route, for example {@code r-dish-query}.
 *
 * @param value 1 to 128 characters, not blank
 */
public record RouteId(String value) implements Comparable<RouteId> {
    /** Validates the value. */
    public RouteId {
        value = IdText.validated("RouteId", value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
