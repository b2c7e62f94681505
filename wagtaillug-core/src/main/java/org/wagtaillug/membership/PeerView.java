package org.wagtaillug.membership;

import java.time.Duration;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;

/**
 * Another member of the roster as this node knows it.
 *
 * @param node its id
 * @param domain its failure domain
 * @param probed whether this node probes it; of other members it knows only that they are in the roster
 * @param heard whether it answered within the timeout
 * @param silence how long it has not answered; empty if it is not probed
 * @param through the offset up to which it reported having read the control stream; 0 if it never reported one
 * @param logReachable whether it reported that it reaches the log
 * @param ready whether it reported that it accepts requests
 */
public record PeerView(
        NodeId node,
        DomainId domain,
        boolean probed,
        boolean heard,
        Optional<Duration> silence,
        long through,
        boolean logReachable,
        boolean ready) {
    static PeerView unprobed(NodeId node, DomainId domain) {
        return new PeerView(node, domain, false, false, Optional.empty(), 0, false, false);
    }
}
