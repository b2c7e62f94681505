package org.wagtaillug.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by its host and the longest matching path prefix. */
public final class RouteTable {
    private final Map<String, List<Route>> byHost = new HashMap<>();

    /** Creates a table of the given routes. */
    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(normalized(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
    }

    /** The route for a host, with or without a port, and a path; empty if none matches. */
    public Optional<Route> find(String host, String path) {
        for (Route route : byHost.getOrDefault(normalized(withoutPort(host)), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** All routes, in no particular order. */
    public List<Route> all() {
        return byHost.values().stream().flatMap(List::stream).toList();
    }

    /** Whether any route has streams that may be resumed. */
    boolean streamsResumable() {
        return byHost.values().stream()
                .flatMap(List::stream)
                .anyMatch(route -> route.kind() == RouteKind.STREAM && route.resumable());
    }

    /** The number of routes. */
    public int size() {
        return byHost.values().stream().mapToInt(List::size).sum();
    }

    private static String normalized(String host) {
        return host.toLowerCase(Locale.ROOT);
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
