package org.wagtaillug.daemon.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Formats the metrics of a registry as text. */
public final class MetricsText {
    private MetricsText() {}

    /** All metrics in Prometheus's text format. */
    public static String of(PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing into memory does not fail", impossible);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
