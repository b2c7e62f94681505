package org.wagtaillug.serving;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.RequestId;

/**
 * An attempt to send a request to an upstream.
 *
 * @param request id of the request
 * @param attempt number of the attempt, unique within a run of the node: a request id may be reused while the end of
 *     its earlier attempt has not been reported; a later attempt replaces an earlier one
 * @param upstream the target
 * @param deadline when the upstream must stop
 * @param customer the customer of the request; empty on a route that requires no key
 * @param inputs handles of the results that the upstream fetches
 * @param resumesAfter id of the last event of an earlier attempt that the caller has received
 * @param stream whether the answer is a stream of events
 * @param retryableElsewhere whether another upstream may get the request if this one stops responding
 * @param freshConnection whether the request must not be sent on a connection that was used before
 * @param path how the request gets to the upstream
 * @param priority the order in which engines process requests, 0 to 9, 0 first; empty if the upstream is told none
 */
public record SendOrder(
        RequestId request,
        int attempt,
        Listing upstream,
        Instant deadline,
        Optional<CustomerId> customer,
        List<String> inputs,
        Optional<String> resumesAfter,
        boolean stream,
        boolean retryableElsewhere,
        boolean freshConnection,
        UpstreamPath path,
        OptionalInt priority) {}
