package org.wagtaillug.route;

/**
 * What one engine of a pool can process concurrently, for the requests of all nodes together.
 *
 * @param slots the number of requests; 0 if unknown
 * @param tokens the prompt and output tokens of the running requests that its memory can hold; 0 if unknown
 */
public record EngineCapacity(int slots, long tokens) {
    /** The capacity of an engine whose configuration does not say anything. */
    public static final EngineCapacity UNKNOWN = new EngineCapacity(0, 0);

    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if one is negative
     */
    public EngineCapacity {
        if (slots < 0 || tokens < 0) {
            throw new IllegalArgumentException(
                    "engine capacity of " + slots + " slots and " + tokens + " tokens; expected none below 0");
        }
    }
}
