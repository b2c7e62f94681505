/**
 * A node that routes by host and path: every decision as a state machine, events in and effects out.
 *
 * <pre>{@code
 * List<ServingEffect> effects = serving.handle(new ServingEvent.RequestArrived(request), now);
 * }</pre>
 */
package org.wagtaillug.serving;
