package org.wagtaillug.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

class RoutedSettingsTest {
    private static final String VALID = """
            node: { vm: 10.1.0.41, name: edge-1, domain: north }
            listen:
              callers: "10.1.0.41:8625"
              readiness: "10.1.0.41:8621"
              administration: "10.1.0.41:7755"
              link: "10.1.0.41:8628"
            store: "10.200.1.7:8624"
            seeds: ["10.2.0.25:8628"]
            repeats: { window: 10s, ratio: 0.2, fixed: 56 }
            shutdown_grace: 8s
            """;

    private static String problems(String text) {
        return RoutedSettingsReader.read(text, "node.yaml").getLeft().toString();
    }

    @Test
    void readsAllFields() {
        RoutedSettings settings = RoutedSettingsReader.read(VALID, "node.yaml").get();
        assertThat(settings.listeners().callers()).hasToString("10.1.0.41:8625");
        assertThat(settings.seeds()).containsExactly(new VmId("10.2.0.25"));
        assertThat(settings.retryLimits().window()).isEqualTo(Duration.ofSeconds(10));
        assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofSeconds(8));
    }

    @Test
    void suggestsTheNearestNameForAnUnknownField() {
        assertThat(problems(VALID.replace("  readiness:", "  readyness:")))
                .contains("node.yaml:4", "readyness", "did you mean \"readiness\"?");
    }

    @Test
    void reportsAllInvalidValuesAtOnce() {
        String invalid = VALID.replace(":8625", "").replace("10s", "soon").replace("0.2", "-1");
        assertThat(problems(invalid)).contains("listen.callers", "repeats.window", "repeats.ratio");
    }

    @Test
    void processorAndColdUpstreamsAreOptional() {
        RoutedSettings defaults = RoutedSettingsReader.read(VALID, "node.yaml").get();
        assertThat(defaults.capacity()).isEqualTo(1);
        assertThat(defaults.coldBound()).isEqualTo(RoutedSettings.ColdBound.DEFAULT);
        String text = VALID + "processor: { share: 0.75, speed: 2 }\ncold_upstreams: { ratio: 2, fixed: 3 }\n";
        RoutedSettings configured = RoutedSettingsReader.read(text, "node.yaml").get();
        assertThat(configured.capacity()).isEqualTo(1.5);
        assertThat(configured.coldBound()).isEqualTo(new RoutedSettings.ColdBound(2, 3));
    }

    @Test
    void rejectsAProcessorWithoutCapacity() {
        assertThat(problems(VALID + "processor: { share: 0, speed: fast }\n"))
                .contains("processor.share", "processor.speed");
        assertThat(problems(VALID + "cold_upstreams: { ratio: 1 }\n")).contains("cold_upstreams.fixed");
        assertThat(problems(VALID + "rollouts: { ratio: 1 }\n")).contains("rollouts.fixed");
    }

    @Test
    void reportsAnEmptyFile() {
        assertThat(problems("")).contains("node.yaml:1", "found an empty text");
    }

    @Test
    void usesAllFeaturesExceptThoseListed() {
        assertThat(RoutedSettingsReader.read(VALID, "node.yaml").get().features())
                .isEqualTo(PolicyFeatures.ALL);
        PolicyFeatures remaining = RoutedSettingsReader.read(VALID + "without: [nearness]\n", "node.yaml")
                .get()
                .features();
        assertThat(remaining.uses(PolicyFeature.NEARNESS)).isFalse();
        assertThat(remaining.uses(PolicyFeature.EARLY_RELEASE)).isTrue();
    }

    @Test
    void suggestsTheNearestNameForAnUnknownFeature() {
        assertThat(problems(VALID + "without: [neerness]\n"))
                .contains("without[0]", "neerness", "did you mean \"nearness\"?");
        assertThat(problems(VALID + "without: nearness\n")).contains("without", "a list of policy features");
    }
}
