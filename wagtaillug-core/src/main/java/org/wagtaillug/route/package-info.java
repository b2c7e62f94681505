/**
 * The configuration of a deployment that routes by host and path: routes, the steps before a request, pools and customers.
 *
 * <pre>{@code
 * Optional<Route> route = configuration.routes().find("orders.example", "/confirm/17");
 * }</pre>
 */
package org.wagtaillug.route;
