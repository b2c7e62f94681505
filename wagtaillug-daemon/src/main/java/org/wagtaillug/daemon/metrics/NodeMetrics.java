package org.wagtaillug.daemon.metrics;

import com.sun.management.OperatingSystemMXBean;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.time.Duration;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.result.ResultCode;

/** Metrics of answers, attempts and the cost of control. Names and labels are listed in docs/OPERATIONS.md. */
public final class NodeMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] BUCKETS_SECONDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter answers = Counter.builder()
            .name("wagtaillug_answers_total")
            .help("Final answers by customer, template, result code and run state")
            .labelNames("customer", "template", "code", "run")
            .register(registry);
    private final Histogram requestSeconds = Histogram.builder()
            .name("wagtaillug_request_seconds")
            .help("Time from the whole request to the final answer")
            .labelNames("template", "outcome")
            .classicUpperBounds(BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("wagtaillug_attempts_total")
            .help("Attempts by stage and how they ended")
            .labelNames("stage", "end")
            .register(registry);
    private final Counter stageSeconds = Counter.builder()
            .name("wagtaillug_stage_seconds_total")
            .help("Time that attempts of a stage took, by how they ended")
            .labelNames("stage", "end")
            .register(registry);
    private final Counter decisions = Counter.builder()
            .name("wagtaillug_decisions_total")
            .help("Decisions by kind")
            .labelNames("kind")
            .register(registry);
    private final Gauge configurationOffset =
            gauge("wagtaillug_configuration_offset", "The last offset of the control stream that is in force here");
    private final Gauge ready = gauge("wagtaillug_ready", "1 while the node takes new requests");
    private final Gauge controlSeconds =
            gauge("wagtaillug_control_cpu_seconds", "Processor time of the control thread since the start");
    private final Gauge linkBytes =
            gauge("wagtaillug_link_bytes", "Bytes between this node and others since the start, both ways");

    /** Creates the metrics of a node. */
    public NodeMetrics() {
        OperatingSystemMXBean process = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        GaugeWithCallback.builder()
                .name("wagtaillug_process_cpu_seconds")
                .help("Processor time of the whole process since the start")
                .callback(measurement -> measurement.call(process.getProcessCpuTime() / NANOS_PER_SECOND))
                .register(registry);
        GaugeWithCallback.builder()
                .name("wagtaillug_heap_bytes")
                .help("Bytes of the heap in use, garbage that is not yet collected included")
                .callback(measurement ->
                        measurement.call(memory.getHeapMemoryUsage().getUsed()))
                .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }

    /** Records a final answer. */
    public void recordAnswer(String customer, String template, ResultCode code, String run, Duration took) {
        answers.labelValues(customer, template, Integer.toString(code.number()), run)
                .inc();
        String outcome = code == ResultCode.SERVED ? "served" : "refused";
        requestSeconds.labelValues(template, outcome).observe(took.toNanos() / NANOS_PER_SECOND);
    }

    /** Records the end of an attempt. */
    public void recordAttempt(Attempt attempt, AttemptEnd end, Duration took) {
        String stage = attempt.stage().id().value();
        String endName = end.getClass().getSimpleName();
        attempts.labelValues(stage, endName).inc();
        stageSeconds.labelValues(stage, endName).inc(took.toNanos() / NANOS_PER_SECOND);
    }

    /** Records a decision. */
    public void recordDecision(String kind) {
        decisions.labelValues(kind).inc();
    }

    /** Records whether the node accepts new requests. */
    public void setReady(boolean value) {
        ready.set(value ? 1 : 0);
    }

    /** Records the cost of control and the last offset of the control stream that was read. */
    public void recordControl(long through, long cpuNanos, long bytes) {
        configurationOffset.set(through);
        controlSeconds.set(cpuNanos / NANOS_PER_SECOND);
        linkBytes.set(bytes);
    }

    /** All metrics in Prometheus's text format. */
    public String text() {
        return MetricsText.of(registry);
    }
}
