package org.wagtaillug.standin.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Metrics of a node in the Prometheus text format.
 *
 * @param samples all samples in order; other lines are ignored
 */
record MetricsText(List<Sample> samples) {
    private static final String COUNTER_SUFFIX = "_total";
    private static final Pattern LINE = Pattern.compile("([A-Za-z_:][A-Za-z0-9_:]*)(?:\\{(.*)})? (\\S+)(?: \\d+)?");
    private static final Pattern LABEL = Pattern.compile("([A-Za-z_][A-Za-z0-9_]*)=\"((?:[^\"\\\\]|\\\\.)*)\"");

    /** A sample: a name with labels, and its value. */
    record Sample(String name, Map<String, String> labels, double value) {
        String label(String label) {
            return labels.getOrDefault(label, "");
        }
    }

    static MetricsText parse(String text) {
        List<Sample> samples = new ArrayList<>();
        for (String line : text.split("\n")) {
            Matcher matcher = LINE.matcher(line.strip());
            if (line.startsWith("#") || !matcher.matches()) {
                continue;
            }
            Map<String, String> labels = new LinkedHashMap<>();
            Matcher label = LABEL.matcher(matcher.group(2) == null ? "" : matcher.group(2));
            while (label.find()) {
                labels.put(label.group(1), label.group(2));
            }
            samples.add(new Sample(matcher.group(1), labels, value(matcher.group(3))));
        }
        return new MetricsText(samples);
    }

    private static double value(String text) {
        return switch (text) {
            case "+Inf" -> Double.POSITIVE_INFINITY;
            case "-Inf" -> Double.NEGATIVE_INFINITY;
            default -> Double.parseDouble(text);
        };
    }

    /** Returns the sum of all samples with a name. */
    double sum(String name) {
        double sum = 0;
        for (Sample sample : samples) {
            sum += sample.name().equals(name) ? sample.value() : 0;
        }
        return sum;
    }

    /**
     * Returns the differences to an earlier reading. If a counter is below its earlier value, the process has restarted in
     * between; the current values are then returned unchanged.
     */
    MetricsText since(MetricsText earlier) {
        Map<String, Double> before = new LinkedHashMap<>();
        for (Sample sample : earlier.samples()) {
            before.put(sample.name() + sample.labels(), sample.value());
        }
        if (hasCounterReset(before)) {
            return this;
        }
        List<Sample> added = new ArrayList<>();
        for (Sample sample : samples) {
            double previous = before.getOrDefault(sample.name() + sample.labels(), 0.0);
            added.add(new Sample(sample.name(), sample.labels(), sample.value() - previous));
        }
        return new MetricsText(added);
    }

    private boolean hasCounterReset(Map<String, Double> before) {
        for (Sample sample : samples) {
            double previous = before.getOrDefault(sample.name() + sample.labels(), 0.0);
            if (sample.name().endsWith(COUNTER_SUFFIX) && sample.value() < previous) {
                return true;
            }
        }
        return false;
    }
}
