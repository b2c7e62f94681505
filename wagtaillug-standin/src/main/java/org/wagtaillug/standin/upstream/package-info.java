/**
 * Stand-ins of upstreams: {@link org.wagtaillug.standin.upstream.Engine}, {@link
 * org.wagtaillug.standin.upstream.StageServer} and {@link org.wagtaillug.standin.upstream.PlainService}. All share slots,
 * the cold start, the lagging load report and the counters of {@link org.wagtaillug.standin.upstream.Upstream}.
 */
package org.wagtaillug.standin.upstream;
