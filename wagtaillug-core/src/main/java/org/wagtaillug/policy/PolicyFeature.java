package org.wagtaillug.policy;

/**
 * A scheduling or routing optimization that can be switched off. No correctness guarantee depends on one: without it, nodes
 * serve fewer requests in time, but nothing runs twice or at an upstream where it must not run.
 */
public enum PolicyFeature {
    /** One node schedules the batched calls of a pool for all nodes; if off, each node schedules its own. */
    SHARED_FILLING,
    /** Items are served by rank and latency target, those that can meet it first; if off, in order of arrival. */
    URGENCY_ORDER,
    /** A server without capacity for a result still gets items with smaller results; if off, it gets none for a while. */
    ROOM_BY_SIZE,
    /** Work is preferably sent to servers near its inputs. */
    NEARNESS,
    /** Prompts are routed to engines that are likely to have their segments cached; if off, to the least loaded engine. */
    PROMPT_HOMES,
    /** The number of a segment's home engines follows its share of the load; if off, it is a fixed share of the engines. */
    HOMES_BY_DEMAND,
    /** A node takes into account to which engines it has recently sent segments. */
    SENT_PARTS,
    /** Orders whose queue delay would make them late are refused on arrival. */
    EARLY_REFUSAL,
    /** Queue delays are estimated from recent fill ratios and the arrivals of lower ranks; if off, from full calls alone. */
    OBSERVED_WAIT,
    /** A request is refused on arrival if the queue delays of all its steps together would make it late. */
    WHOLE_WAY_REFUSAL,
    /** Plain requests go to the server with the earliest expected completion; if off, to the one with the fewest in flight. */
    LATENCY_CHOICE,
    /** Inputs are released once the engine has had time to fetch them; if off, at its first event. */
    EARLY_RELEASE,
    /** Inputs of resumable streams are released like those of other requests; if off, at the end of the stream. */
    RELEASE_OF_RESUMABLE,
    /** A branch of steps starts just in time for the join; if off, immediately. */
    TIMELY_BRANCHES,
    /** The latency target of a step is derived from recent engine times; if off, from a fixed speed. */
    OBSERVED_ENGINES,
    /** What upstreams report of their load raises their expected cost. Takes effect only under contention. */
    LOAD_VIEW,
    /** One node chooses the engines of a pool for the requests of all nodes. Takes effect only under contention. */
    SHARED_ASSIGNMENT,
    /** A request is admitted only if the pools of all of its steps grant it a reservation. Takes effect only under contention. */
    PATH_RESERVATIONS,
    /** Estimates use observed durations of calls instead of the configured ones. Takes effect only under contention. */
    OBSERVED_CALLS,
    /** Engines are told the priorities of requests. Takes effect only under contention. */
    ENGINE_PRIORITIES,
    /** Bounds what this node holds for callers and upstreams that read slowly. Takes effect only under contention. */
    READER_LIMITS
}
