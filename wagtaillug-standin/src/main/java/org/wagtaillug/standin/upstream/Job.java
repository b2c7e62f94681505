package org.wagtaillug.standin.upstream;

import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.RequestIds;

/** One request that an upstream works on. */
abstract class Job {
    private final Exchange exchange;
    private final RequestIds ids;

    Job(Exchange exchange, RequestIds ids) {
        this.exchange = exchange;
        this.ids = ids;
    }

    Exchange exchange() {
        return exchange;
    }

    /** Returns the ids as they were sent. */
    RequestIds ids() {
        return ids;
    }
}
