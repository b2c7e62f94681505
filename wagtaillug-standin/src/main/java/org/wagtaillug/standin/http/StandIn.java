package org.wagtaillug.standin.http;

/** One outside system's stand-in, met on its own port. */
public interface StandIn {
    /** Returns the name in the VM list and in messages. */
    String name();

    /** Returns the kind: the subcommand that starts such a stand-in. */
    String kind();

    /** Returns the faults that this stand-in shows. */
    FaultGate faults();

    /**
     * Tells whether the faults on answers apply to a call: calls that do work or change something, not the reports, so
     * that a poll of the load does not use up a fault that is meant for a request.
     */
    boolean doesWork(Exchange exchange);

    /** Answers one call, now or later, from any thread; must not block. */
    void handle(Exchange exchange);

    /**
     * Starts anew.
     *
     * @param downMillis how long it stays down; below 0 for its own restart time
     */
    void restart(long downMillis);
}
