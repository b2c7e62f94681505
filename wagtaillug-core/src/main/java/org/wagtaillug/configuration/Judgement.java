package org.wagtaillug.configuration;

import org.wagtaillug.log.LogRecord.Change;

/**
 * What became of one operator's change when its turn came in the order of offsets.
 *
 * @param change what was asked for
 * @param offset where it stands on the control stream
 * @param won whether it took effect
 * @param version the key's version after its turn; {@code offset} if it won
 */
public record Judgement(Change change, long offset, boolean won, long version) {}
