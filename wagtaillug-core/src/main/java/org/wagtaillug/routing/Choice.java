package org.wagtaillug.routing;

import java.util.List;
import java.util.Optional;
import org.wagtaillug.membership.Vm;

/**
 * The upstream selected for an attempt, with the reasons for the decision log.
 *
 * @param upstream the selected upstream; empty if none is eligible
 * @param reason why it was selected, or why none is eligible
 * @param alternatives some of the upstreams that were not selected, each with its reason
 */
public record Choice(Optional<Vm> upstream, String reason, List<String> alternatives) {}
