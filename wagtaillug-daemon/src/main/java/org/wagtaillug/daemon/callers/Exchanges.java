package org.wagtaillug.daemon.callers;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtaillug.id.RequestId;

/** The exchanges without a final answer, by request id. */
public final class Exchanges {
    private final Map<RequestId, CallerExchange> open = new ConcurrentHashMap<>();

    /** Adds an exchange; returns false if one with the same request id is open. */
    boolean add(CallerExchange exchange) {
        return open.putIfAbsent(exchange.request().id(), exchange) == null;
    }

    /** The open exchange of a request. */
    public Optional<CallerExchange> find(RequestId id) {
        return Optional.ofNullable(open.get(id));
    }

    /** Removes and returns the exchange of a request, to answer it. */
    public Optional<CallerExchange> remove(RequestId id) {
        return Optional.ofNullable(open.remove(id));
    }

    /** Closes the connections of the open exchanges after their answers. */
    void closeAfterAnswers() {
        open.values().forEach(CallerExchange::closeAfterAnswer);
    }

    /** The number of open exchanges. */
    public int size() {
        return open.size();
    }
}
