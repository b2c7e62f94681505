package org.wagtaillug.admission;

import org.wagtaillug.peer.Roster;

/** Which part of a rate limit for all nodes together a node may use. */
public sealed interface LimitShare {
    /**
     * Few nodes share the limit equally, selected among the members of a roster.
     *
     * @param roster the members
     */
    record AmongNodes(Roster roster) implements LimitShare {}

    /** One node sends all requests; for a short time two nodes may both believe that they are that node. */
    record OneNode() implements LimitShare {}
}
