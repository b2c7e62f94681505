package org.wagtaillug.daemon.routed;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import org.wagtaillug.daemon.metrics.MetricsText;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.serving.ServingEffect;

/** Counts requests and decisions. Names and labels are listed in docs/OPERATIONS.md. */
final class RoutedMetrics {
    /** The decision on a reservation at the scheduler of its pool. */
    private static final String RESERVATION = "reserve";

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] BUCKETS_SECONDS = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram requestSeconds = Histogram.builder()
            .name("wagtaillug_routed_request_seconds")
            .help("Time from the whole request to the end of its answer, by route and outcome")
            .labelNames("route", "outcome")
            .classicUpperBounds(BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Counter decisions = Counter.builder()
            .name("wagtaillug_routed_decisions_total")
            .help("Decisions by kind")
            .labelNames("kind")
            .register(registry);

    private final Counter loadReports = Counter.builder()
            .name("wagtaillug_routed_load_reports_total")
            .help("Load reports of upstreams, by pool and whether they could be read (read, malformed)")
            .labelNames("pool", "result")
            .register(registry);
    private final Gauge slowdown = Gauge.builder()
            .name("wagtaillug_routed_pool_slowdown")
            .help("Expected duration of work by recent load reports, as a multiple of the usual one; mean of the pool")
            .labelNames("pool")
            .register(registry);

    private final Counter assignments = Counter.builder()
            .name("wagtaillug_routed_assignments_total")
            .help("Assignments of engines, by pool and event")
            .labelNames("pool", "event")
            .register(registry);

    private final Counter readersEnded = Counter.builder()
            .name("wagtaillug_routed_readers_ended_total")
            .help("Exchanges ended because too much was held for their readers, by reason")
            .labelNames("reason")
            .register(registry);

    private final Counter reservations = Counter.builder()
            .name("wagtaillug_routed_reservations_total")
            .help(
                    "Reservations of pool capacity that this node has granted or refused as scheduler, or whose orders did not come")
            .labelNames("pool", "outcome")
            .register(registry);

    /** Records a step in the assignment of an engine. */
    void recordAssignment(PoolId pool, ServingEffect.AssignmentEvent event) {
        assignments
                .labelValues(pool.value(), event.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    /** Reports the bytes that are held for readers. */
    void observeHeldBytes(LongSupplier held) {
        GaugeWithCallback.builder()
                .name("wagtaillug_routed_held_bytes")
                .help("Bytes of answers and request bodies held until they are read")
                .callback(callback -> callback.call(held.getAsLong()))
                .register(registry);
    }

    /** Records an exchange that was ended because too much was held for its readers. */
    void recordReaderEnded(HeldBytes.Reason reason) {
        readersEnded.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Records the end of a request. */
    void recordRequest(String route, ServingEffect.Outcome outcome, Duration took) {
        requestSeconds
                .labelValues(route, outcome.name().toLowerCase(Locale.ROOT))
                .observe(took.toNanos() / NANOS_PER_SECOND);
    }

    /** Records a decision. */
    void recordDecision(Decision decision) {
        decisions.labelValues(decision.kind()).inc();
        if (decision.kind().equals(RESERVATION)) {
            Map<String, String> fields = decision.fields();
            reservations.labelValues(fields.get("pool"), fields.get("outcome")).inc();
        }
    }

    /** Records what the upstreams of a pool have reported of their load. */
    void recordLoad(ServingEffect.LoadObserved observed) {
        String pool = observed.pool().value();
        loadReports.labelValues(pool, "read").inc(observed.reports());
        loadReports.labelValues(pool, "malformed").inc(observed.malformed());
        slowdown.labelValues(pool).set(observed.slowdown());
    }

    /** All metrics in Prometheus's text format. */
    String text() {
        return MetricsText.of(registry);
    }
}
