package org.wagtaillug.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.settings.NodeSettings.Certificate;
import org.wagtaillug.settings.NodeSettings.Limits;
import org.wagtaillug.settings.NodeSettings.Policy;
import org.wagtaillug.settings.NodeSettings.Role;

class NodeSettingsTest {
    private static final String MINIMAL = """
            node: {vm: ramdin-node-1, domain: pl-a, region: port-louis}
            callers: {address: 10.0.0.4, port: 8001}
            administration:
              address: 10.0.0.4
              port: 8101
              tokens: [{token: example-operator-token, role: operator, operator: meera}]
            link: {address: 10.0.0.4, port: 9010}
            platform: {log: "http://10.0.1.1:9000/", vms: "http://10.0.1.1:9001", weights: "http://10.0.1.1:9002"}
            """;

    @Test
    void omittedFieldsHaveDefaults() {
        NodeSettings settings = NodeSettings.parse(MINIMAL, "node.yaml").get();
        assertThat(settings.policy()).isEqualTo(Policy.CURRENT);
        assertThat(settings.limits()).isEqualTo(new Limits(400, 1_048_576, 0.2, 0.05, Duration.ofSeconds(10)));
        assertThat(settings.platform().retention()).isEqualTo(Duration.ofHours(1));
        assertThat(settings.platform().log()).isEqualTo("http://10.0.1.1:9000");
        assertThat(settings.seeds()).isEmpty();
        assertThat(settings.callers().tls()).isEmpty();
        assertThat(settings.log().file()).isEmpty();
        assertThat(settings.log().level()).isEqualTo(System.Logger.Level.INFO);
        assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofSeconds(30));
    }

    @Test
    void readsTheShutdownGrace() {
        NodeSettings settings = NodeSettings.parse(MINIMAL + "shutdown_grace: 8s\n", "node.yaml")
                .get();
        assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofSeconds(8));
    }

    @Test
    void resolvesFileNamesAgainstTheDirectoryOfTheSettings() {
        String text = MINIMAL.replace("port: 8001}", "port: 8001, tls: {certificate: tls/own.pem, key: /etc/key.pem}}");
        NodeSettings settings =
                NodeSettings.parse(text, "/etc/wagtaillug/node.yaml").get();
        assertThat(settings.callers().tls())
                .isEqualTo(
                        Optional.of(new Certificate(Path.of("/etc/wagtaillug/tls/own.pem"), Path.of("/etc/key.pem"))));
    }

    @Test
    void neverIncludesATokenInAText() {
        NodeSettings settings = NodeSettings.parse(MINIMAL, "node.yaml").get();
        assertThat(settings.administration().accessTokens().getFirst().role()).isEqualTo(Role.OPERATOR);
        assertThat(settings.toString()).doesNotContain("example-operator-token");
        assertThat(messages(MINIMAL.replace("example-operator-token", "secret")))
                .doesNotContain("secret");
    }

    @Test
    void reportsAllProblemsOfAFileAtOnce() {
        String text = Golden.text("problems-of-node.yaml");
        assertThat(messages(text)).isEqualTo(Golden.text("problems-of-node.txt"));
    }

    @Test
    void rejectsTwoListenersOnOnePort() {
        String text = MINIMAL.replace("port: 8101", "port: 8001");
        assertThat(messages(text))
                .isEqualTo(
                        "node.yaml:5: administration.port: found 8001; expected a port other than that of callers\n");
    }

    @Test
    void rejectsASecondDocument() {
        assertThat(messages(MINIMAL + "---\n" + MINIMAL))
                .isEqualTo("node.yaml:10: found a second document; expected one document, without a line ---\n");
    }

    @Test
    void reportsAMissingFileAsAProblem() {
        assertThat(NodeSettings.load(Path.of("no-such-folder", "node.yaml"))
                        .getLeft()
                        .getFirst()
                        .message())
                .startsWith("no-such-folder/node.yaml:1: found no readable file");
    }

    private static String messages(String text) {
        StringBuilder lines = new StringBuilder();
        for (SettingsProblem problem : NodeSettings.parse(text, "node.yaml").getLeft()) {
            lines.append(problem.message()).append('\n');
        }
        return lines.toString();
    }
}
