package org.wagtaillug.standin.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MetricsTextTest {
    private static final String TEXT = """
            # HELP a_total Something
            # TYPE a_total counter
            a_total{stage="en code",end="Com\\"pleted"} 3.5
            a_total{stage="x"} 1e3
            b 2
            c_bucket{le="+Inf"} 7
            no figure at all
            """;

    @Test
    void readsNamesLabelsAndValues() {
        assertThat(MetricsText.parse(TEXT).samples())
                .isEqualTo(List.of(
                        new MetricsText.Sample("a_total", Map.of("stage", "en code", "end", "Com\\\"pleted"), 3.5),
                        new MetricsText.Sample("a_total", Map.of("stage", "x"), 1_000),
                        new MetricsText.Sample("b", Map.of(), 2),
                        new MetricsText.Sample("c_bucket", Map.of("le", "+Inf"), 7)));
    }

    @Test
    void sumsOverLabels() {
        assertThat(MetricsText.parse(TEXT).sum("a_total")).isEqualTo(1_003.5);
        assertThat(MetricsText.parse(TEXT).sum("none")).isZero();
    }

    /** After a restart between two readings counters start again at 0, so their current values are the difference. */
    @Test
    void aRestartedProcessCountsWhole() {
        MetricsText before = MetricsText.parse("a_total 10\nb_total 10\n");
        MetricsText after = MetricsText.parse("a_total 12\nb_total 4\nc 1\n");
        MetricsText added = after.since(before);
        assertThat(List.of(added.sum("a_total"), added.sum("b_total"), added.sum("c")))
                .isEqualTo(List.of(12.0, 4.0, 1.0));
    }
}
