package org.wagtaillug.standin.http;

/** A stand-in for an external system, with a port of its own. */
public interface StandIn {
    /** Returns the name used in the VM list and in messages. */
    String name();

    /** Returns the kind, which is the name of the subcommand that starts it. */
    String kind();

    /** Returns the faults injected into this stand-in. */
    ActiveFaults faults();

    /**
     * Returns whether answer faults apply to a call. They apply to calls that process or change something, not to reports,
     * so that polling the load does not use up a fault intended for a request.
     */
    boolean allowsAnswerFaults(Exchange exchange);

    /** Handles a call, which may be answered later and from any thread; must not block. */
    void handle(Exchange exchange);

    /**
     * Restarts this stand-in.
     *
     * @param downMillis how long it stays down; negative for its configured restart duration
     */
    void restart(long downMillis);
}
