package org.wagtaillug.serving;

import java.util.Optional;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.ServingConfiguration;

/** The result of looking a request up in the configuration. */
sealed interface RouteMatch {
    /**
     * The request may be served.
     *
     * @param route the matching route
     * @param customer the customer whose key it carries; empty if none is required and none is known
     */
    record Allowed(Route route, Optional<Customer> customer) implements RouteMatch {}

    /**
     * The request must be refused.
     *
     * @param code the result code
     * @param message the error message for the caller
     */
    record Denied(ResultCode code, String message) implements RouteMatch {}

    /** Looks up a request by host, path and key. */
    static RouteMatch of(RoutedRequest request, ServingConfiguration configuration) {
        Optional<Route> route = configuration.routes().find(request.host(), request.path());
        if (route.isEmpty()) {
            String message = "no route matches \"" + request.host() + request.path() + "\"";
            return new Denied(ResultCode.UNKNOWN_ROUTE, message);
        }
        Optional<Customer> customer = request.callerKey().map(configuration.customers()::get);
        boolean open = route.get().open() || configuration.customers().isEmpty();
        if (customer.isEmpty() && !open) {
            return new Denied(ResultCode.KEY_REJECTED, "the API key is not valid");
        }
        return new Allowed(route.get(), customer);
    }
}
