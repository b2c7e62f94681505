package org.wagtaillug.configuration;

import org.wagtaillug.log.LogRecord.Change;

/**
 * The outcome of an operator's change, decided in the order of offsets.
 *
 * @param change the change
 * @param offset its offset on the control stream
 * @param applied whether it took effect
 * @param version the version of the key after it; {@code offset} if it took effect
 */
public record ChangeOutcome(Change change, long offset, boolean applied, long version) {}
