package org.wagtaillug.id;

import java.time.Instant;

/**
 * A caller's name for something that must happen once. The same customer and value mean the same thing to do.
 *
 * @param customer the customer whose key it is
 * @param value the caller's own text, 1 to 128 characters
 * @param issuedAt when the caller made the key; tells whether the log still holds all that was ever said of it
 */
public record IdempotencyKey(CustomerId customer, String value, Instant issuedAt) {
    /** Checks the length of the value. */
    public IdempotencyKey {
        value = IdText.checked("IdempotencyKey", value);
    }

    /** The key without its time of issue: what two uses of it have in common. */
    public String identity() {
        return customer + "/" + value;
    }
}
