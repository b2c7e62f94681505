package org.wagtaillug.daemon.routed;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtaillug.id.RequestId;

/** The open exchanges by request id. */
final class RoutedExchanges {
    private final Map<RequestId, RoutedExchange> open = new ConcurrentHashMap<>();

    /** Adds an exchange; returns false if one with the same id is open. */
    boolean add(RoutedExchange exchange) {
        return open.putIfAbsent(exchange.routed().id(), exchange) == null;
    }

    Optional<RoutedExchange> find(RequestId id) {
        return Optional.ofNullable(open.get(id));
    }

    Optional<RoutedExchange> remove(RequestId id) {
        return Optional.ofNullable(open.remove(id));
    }

    int size() {
        return open.size();
    }
}
