package org.wagtaillug.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;

class ContractsTest {
    @Test
    void readsATemplateWithItsDefaults() {
        String text = """
                kind: template
                id: menu-draft
                stages:
                  - id: encode
                  - id: retrieve
                    pool: search
                    attempts: 2
                  - {id: generate, work: generate, model: menu-7b, hedge: false, timeout: 250ms}
                """;
        Template template = (Template) read(text).getFirst();
        assertThat(template.deadline()).isEqualTo(Duration.ofSeconds(10));
        assertThat(template.idempotent()).isTrue();
        assertThat(template.stages())
                .containsExactly(
                        Stage.builder("encode").build(),
                        Stage.builder("retrieve").pool("search").attempts(2).build(),
                        Stage.builder("generate")
                                .work(StageWork.GENERATE)
                                .model("menu-7b")
                                .hedge(false)
                                .timeout(Duration.ofMillis(250))
                                .build());
    }

    @Test
    void aTemplateThatIsNotIdempotentGetsOneAttemptAndNoHedge() {
        String text = "{kind: template, id: book, idempotent: false, stages: [{id: book, work: call}]}";
        Template template = (Template) read(text).getFirst();
        assertThat(template.stages().getFirst().attempts()).isEqualTo(1);
        assertThat(template.stages().getFirst().hedge()).isFalse();
    }

    @Test
    void reportsAllProblemsOfAFileAtOnce() {
        String text = Golden.text("problems-of-contracts.yaml");
        assertThat(messages(text)).isEqualTo(Golden.text("problems-of-contracts.txt"));
    }

    @Test
    void rejectsInvalidContracts() {
        List<String> texts = List.of(
                "",
                "# only a comment\n",
                "kind: pool\n\tid: encode\n",
                "kind: pool\nid: [encode\n",
                "- kind: pool\n",
                "id: encode\n",
                "kind: pool\nid: &a encode\ncold_limit: *a\n",
                "kind: domain-service\ndomain: pl-a\nout: true\n",
                "{kind: pool, id: a}\n---\n{kind: pool, id: a}\n",
                "{kind: pool, id: \"a\\nb\", warm_limit: .inf}\n",
                "kind: *\nid: a\n",
                "{kind: template, id: a, stages: [{id: a}]}\n",
                "{kind: template, id: a, stages: [{id: a}, {id: b}]}\n",
                "{kind: template, id: a, stages: []}\n",
                "{kind: template, id: a, stages: [{id: a, work: call, model: m, attempts: 99999999999999999999}]}\n");
        StringBuilder all = new StringBuilder();
        for (String text : texts) {
            all.append(messages(text));
        }
        assertThat(all).hasToString(Golden.text("no-contracts.txt"));
    }

    @Test
    void validatesJsonAsStrictlyAsYaml() {
        List<String> texts = List.of(
                "{\"kind\":\"pool\",\"id\":\"a\",\"cold_limit\":0,\"id\":\"b\"}",
                "{\"kind\":\"removed\"} {}",
                "{\"kind\":",
                "",
                "7",
                "{\"kind\":\"vm-service\",\"vm\":\"a\"}");
        StringBuilder all = new StringBuilder();
        for (String text : texts) {
            for (SettingsProblem problem : Contracts.fromJson(text).getLeft()) {
                all.append(problem.message()).append('\n');
            }
        }
        assertThat(all).hasToString(Golden.text("no-json.txt"));
    }

    private static List<Body> read(String text) {
        return Contracts.parse(text, "contracts.yaml").get();
    }

    private static String messages(String text) {
        Either<List<SettingsProblem>, List<Body>> result = Contracts.parse(text, "contracts.yaml");
        StringBuilder lines = new StringBuilder();
        for (SettingsProblem problem : result.getLeft()) {
            lines.append(problem.message()).append('\n');
        }
        return lines.toString();
    }
}
