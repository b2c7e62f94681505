package org.wagtaillug.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

class RoutedSettingsTest {
    private static final String GOOD = """
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
    void goodSettingsAreReadWhole() {
        RoutedSettings settings = RoutedSettingsReader.read(GOOD, "node.yaml").get();
        assertThat(settings.listen().callers()).hasToString("10.1.0.41:8625");
        assertThat(settings.seeds()).containsExactly(new VmId("10.2.0.25"));
        assertThat(settings.repeats().window()).isEqualTo(Duration.ofSeconds(10));
        assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofSeconds(8));
    }

    @Test
    void aWrongFieldIsNamedWithTheNearestOne() {
        assertThat(problems(GOOD.replace("  readiness:", "  readyness:")))
                .contains("node.yaml:4", "readyness", "did you mean \"readiness\"?");
    }

    @Test
    void wrongValuesAreAllNamedAtOnce() {
        String wrong = GOOD.replace(":8625", "").replace("10s", "soon").replace("0.2", "-1");
        assertThat(problems(wrong)).contains("listen.callers", "repeats.window", "repeats.ratio");
    }

    @Test
    void theProcessorAndTheBoundOfColdUpstreamsMayBeMissing() {
        RoutedSettings missing = RoutedSettingsReader.read(GOOD, "node.yaml").get();
        assertThat(missing.capacity()).isEqualTo(1);
        assertThat(missing.coldBound()).isEqualTo(RoutedSettings.ColdBound.DEFAULT);
        String text = GOOD + "processor: { share: 0.75, speed: 2 }\ncold_upstreams: { ratio: 2, fixed: 3 }\n";
        RoutedSettings given = RoutedSettingsReader.read(text, "node.yaml").get();
        assertThat(given.capacity()).isEqualTo(1.5);
        assertThat(given.coldBound()).isEqualTo(new RoutedSettings.ColdBound(2, 3));
    }

    @Test
    void aProcessorWithoutCapacityIsWrong() {
        assertThat(problems(GOOD + "processor: { share: 0, speed: fast }\n"))
                .contains("processor.share", "processor.speed");
        assertThat(problems(GOOD + "cold_upstreams: { ratio: 1 }\n")).contains("cold_upstreams.fixed");
        assertThat(problems(GOOD + "rollouts: { ratio: 1 }\n")).contains("rollouts.fixed");
    }

    @Test
    void anEmptyFileIsSaidToBeOne() {
        assertThat(problems("")).contains("node.yaml:1", "found an empty text");
    }

    @Test
    void allMechanismsAreUsedUnlessTheFileNamesSome() {
        assertThat(RoutedSettingsReader.read(GOOD, "node.yaml").get().features())
                .isEqualTo(PolicyFeatures.ALL);
        PolicyFeatures some = RoutedSettingsReader.read(GOOD + "without: [nearness]\n", "node.yaml")
                .get()
                .features();
        assertThat(some.uses(PolicyFeature.NEARNESS)).isFalse();
        assertThat(some.uses(PolicyFeature.EARLY_RELEASE)).isTrue();
    }

    @Test
    void anUnknownMechanismIsNamedWithTheNearestOne() {
        assertThat(problems(GOOD + "without: [neerness]\n"))
                .contains("without[0]", "neerness", "did you mean \"nearness\"?");
        assertThat(problems(GOOD + "without: nearness\n")).contains("without", "a list of mechanisms");
    }
}
