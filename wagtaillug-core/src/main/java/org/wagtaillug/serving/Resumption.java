package org.wagtaillug.serving;

import java.util.Optional;
import org.wagtaillug.id.RequestId;

/**
 * What a caller says of an interrupted stream that it takes up again.
 *
 * @param lastEvent id of the last event that it has received
 * @param stream id of the request that brought the first event; empty if the caller does not name it
 */
public record Resumption(String lastEvent, Optional<RequestId> stream) {}
