/**
 * Stand-ins for upstreams: {@link org.wagtaillug.standin.upstream.Engine}, {@link
 * org.wagtaillug.standin.upstream.StageServer} and {@link org.wagtaillug.standin.upstream.PlainService}. All of them have
 * the slots, cold start, delayed load report and counters of {@link org.wagtaillug.standin.upstream.Upstream}.
 */
package org.wagtaillug.standin.upstream;
