package org.wagtaillug.routing;

import java.time.Instant;
import java.util.Set;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.VmId;

/** A way of choosing upstreams, retries and hedges. */
public sealed interface RoutingPolicy permits LeastCompletionPolicy, RoundRobinPolicy {
    /**
     * Chooses the upstream of one attempt.
     *
     * @param stage what is to be done
     * @param prefix the name of the prompt's shared start; empty if there is none
     * @param excluded upstreams that this request has tried or is trying
     * @param now the present time
     */
    Choice choose(Stage stage, String prefix, Set<VmId> excluded, Instant now);

    /** The most attempts of one stage, hedges included. */
    int mostAttempts(Stage stage);

    /** Whether retries are held to a share of the requests. */
    boolean budgetsRetries();

    /** Whether straggling attempts get a rival. */
    boolean hedges();

    /** Whether requests that cannot make their deadline are refused early, and work is spread by share and worth. */
    boolean refusesEarly();
}
