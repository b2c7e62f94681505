package org.wagtaillug.id;

import java.time.Instant;

/**
 * A caller's identifier of an operation that must be executed at most once. The same customer and value identify the
 * same operation.
 *
 * @param customer the customer who uses the key
 * @param value the text chosen by the caller, 1 to 128 characters
 * @param issuedAt the time at which the caller created the key; determines whether the log still retains all records of
 *     it
 */
public record IdempotencyKey(CustomerId customer, String value, Instant issuedAt) {
    /** Validates the value. */
    public IdempotencyKey {
        value = IdText.validated("IdempotencyKey", value);
    }

    /** The key without its time of issue, which is identical for all uses of it. */
    public String identity() {
        return customer + "/" + value;
    }
}
