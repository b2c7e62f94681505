package org.wagtaillug.routing;

import java.time.Instant;
import java.util.Set;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.VmId;

/** A strategy for upstream selection, retries and hedging. */
public sealed interface RoutingPolicy permits LeastCompletionPolicy, RoundRobinPolicy {
    /**
     * Selects the upstream of one attempt.
     *
     * @param stage the stage that the attempt executes
     * @param prefix the id of the prompt's shared prefix; empty if there is none
     * @param excluded upstreams with a finished or running attempt of this request
     * @param now the current time
     */
    Choice choose(Stage stage, String prefix, Set<VmId> excluded, Instant now);

    /** The maximum number of attempts of one stage, including hedged ones. */
    int maxAttempts(Stage stage);

    /** Whether retries are limited to a fraction of the requests. */
    boolean budgetsRetries();

    /** Whether slow attempts are hedged with a second one. */
    boolean hedges();

    /** Whether requests that cannot meet their deadline are refused early, and capacity is divided by share and worth. */
    boolean refusesEarly();
}
