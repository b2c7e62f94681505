/**
 * The configuration of a deployment that routes by host and path: routes with their steps, pools and customers.
 *
 * <pre>{@code
 * Optional<Route> route = configuration.routes().find("orders.example", "/confirm/17");
 * }</pre>
 */
package org.wagtaillug.route;
