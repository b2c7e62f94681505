package org.wagtaillug.routing;

import java.util.List;
import java.util.Optional;
import org.wagtaillug.membership.Vm;

/**
 * Where an attempt goes and why not elsewhere.
 *
 * @param upstream the chosen one; empty when none may take it now
 * @param reason why this one, or why none
 * @param alternatives some that were not chosen, each with its reason
 */
public record Choice(Optional<Vm> upstream, String reason, List<String> alternatives) {}
