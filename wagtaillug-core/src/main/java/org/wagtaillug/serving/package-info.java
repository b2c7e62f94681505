/**
 * Request serving of a node that routes by host and path, as a state machine that takes in events and returns
 * effects.
 *
 * <pre>{@code
 * List<ServingEffect> effects = serving.handle(new ServingEvent.RequestArrived(request), now);
 * }</pre>
 */
package org.wagtaillug.serving;
