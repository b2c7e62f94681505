package org.wagtaillug.membership;

import java.time.Duration;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;

/**
 * Another member of the roster as this node knows it.
 *
 * @param node which
 * @param domain its failure domain
 * @param watched whether this node probes it; of others it knows only that they are members
 * @param heard whether it answered within the timeout
 * @param silence how long it has not answered; empty if it is not watched
 * @param through how far it said that it had read the control stream; 0 if it never did
 * @param logReachable whether it said that it reaches the log
 * @param ready whether it said that it takes requests
 */
public record PeerView(
        NodeId node,
        DomainId domain,
        boolean watched,
        boolean heard,
        Optional<Duration> silence,
        long through,
        boolean logReachable,
        boolean ready) {
    static PeerView unwatched(NodeId node, DomainId domain) {
        return new PeerView(node, domain, false, false, Optional.empty(), 0, false, false);
    }
}
