package org.wagtaillug.standin.upstream;

import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.RequestIds;

/** A request in progress on an upstream. */
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

    /** Returns the ids from the request. */
    RequestIds ids() {
        return ids;
    }
}
