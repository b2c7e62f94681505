package org.wagtaillug.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.TemplateId;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final int NODES = 9;

    @ParameterizedTest
    @ValueSource(strings = {"ramdin", "himalchuli"})
    void contractsAreValidAndComplete(String firm) throws IOException {
        Path file = EXAMPLES.resolve(firm).resolve("contracts.yaml");
        List<Body> bodies = Contracts.parse(Files.readString(file), file.toString())
                .getOrElseThrow(problems -> new AssertionError(problems.toString()));
        Set<TemplateId> templates = new HashSet<>();
        List<CustomerContract> customers = new ArrayList<>();
        for (Body body : bodies) {
            if (body instanceof Template template) {
                templates.add(template.id());
            }
            if (body instanceof CustomerContract customer) {
                customers.add(customer);
            }
        }
        assertThat(customers).hasSize(5);
        assertThat(templates).hasSizeGreaterThanOrEqualTo(4);
        for (CustomerContract customer : customers) {
            assertThat(templates).containsAll(customer.parameters().keySet());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"ramdin", "himalchuli"})
    void nodesAreValidAndListEachOtherAsSeeds(String firm) {
        Set<Integer> ports = new HashSet<>();
        Set<String> domains = new HashSet<>();
        for (int number = 1; number <= NODES; number++) {
            Path file = EXAMPLES.resolve(firm).resolve("node-" + number + ".yaml");
            NodeSettings settings =
                    NodeSettings.load(file).getOrElseThrow(problems -> new AssertionError(problems.toString()));
            assertThat(settings.node().vm().value()).isEqualTo(firm + "-node-" + number);
            assertThat(settings.seeds()).hasSize(NODES - 1);
            ports.add(settings.callers().port());
            ports.add(settings.administration().listener().port());
            ports.add(settings.link().port());
            domains.add(settings.node().domain().value());
        }
        assertThat(ports).hasSize(3 * NODES);
        assertThat(domains).hasSize(3);
    }
}
