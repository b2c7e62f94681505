package org.wagtaillug.daemon.routed;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import org.wagtaillug.daemon.metrics.MetricsText;
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

    private final Counter reservations = Counter.builder()
            .name("wagtaillug_routed_reservations_total")
            .help(
                    "Reservations of pool capacity that this node has granted or refused as scheduler, or whose orders did not come")
            .labelNames("pool", "outcome")
            .register(registry);

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

    /** All metrics in Prometheus's text format. */
    String text() {
        return MetricsText.of(registry);
    }
}
