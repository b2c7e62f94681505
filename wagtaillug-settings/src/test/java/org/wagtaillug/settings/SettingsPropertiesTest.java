package org.wagtaillug.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;

class SettingsPropertiesTest {
    private static final Path EXAMPLES = Path.of("..", "examples", "ramdin");
    private static final String CHARACTERS = " \t:-{}[]\"'#&*!|>%@,\n0a\u00e9\u0000";

    @Property(seed = "20261201", tries = 1000)
    void bodiesRoundTripThroughJson(@ForAll("bodies") Body body) {
        assertThat(Contracts.fromJson(Contracts.toJson(body))).isEqualTo(Either.right(body));
    }

    @Property(seed = "20261202", tries = 500)
    void durationsRoundTripThroughText(@ForAll @LongRange(min = 1, max = 30L * 24 * 3600 * 1000) long millis) {
        Duration duration = Duration.ofMillis(millis);
        assertThat(DurationText.parse(DurationText.format(duration))).contains(duration);
    }

    @Property(seed = "20261203", tries = 1000)
    void corruptedFilesCauseProblemsButNoException(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int corruptions) throws IOException {
        Random random = new Random(seed);
        String contracts = corrupted(Files.readString(EXAMPLES.resolve("contracts.yaml")), corruptions, random);
        checkProblems(Contracts.parse(contracts, "contracts.yaml"));
        String node = corrupted(Files.readString(EXAMPLES.resolve("node-1.yaml")), corruptions, random);
        checkProblems(NodeSettings.parse(node, "node.yaml"));
        Body body = new PoolContract(new PoolId("encode"), 2, 4, 8, false, true);
        checkProblems(Contracts.fromJson(corrupted(Contracts.toJson(body), corruptions, random)));
    }

    private static void checkProblems(Either<List<SettingsProblem>, ?> result) {
        if (result.isRight()) {
            return;
        }
        assertThat(result.getLeft()).isNotEmpty();
        for (SettingsProblem problem : result.getLeft()) {
            assertThat(problem.line()).isPositive();
            assertThat(problem.message()).doesNotContain("\n");
        }
    }

    private static String corrupted(String text, int corruptions, Random random) {
        String corrupted = text;
        for (int corruption = 0; corruption < corruptions; corruption++) {
            corrupted = random.nextBoolean() ? corruptedLine(corrupted, random) : corruptedCharacter(corrupted, random);
        }
        return corrupted;
    }

    private static String corruptedLine(String text, Random random) {
        List<String> lines = new ArrayList<>(Arrays.asList(text.split("\n", -1)));
        int line = random.nextInt(lines.size());
        switch (random.nextInt(3)) {
            case 0 -> lines.remove(line);
            case 1 -> lines.add(line, lines.get(random.nextInt(lines.size())));
            default -> lines.set(line, "  " + lines.get(line));
        }
        return String.join("\n", lines);
    }

    private static String corruptedCharacter(String text, Random random) {
        int position = random.nextInt(text.length() + 1);
        char character = CHARACTERS.charAt(random.nextInt(CHARACTERS.length()));
        int end = Math.min(text.length(), position + random.nextInt(2));
        return text.substring(0, position) + character + text.substring(end);
    }

    @Provide
    Arbitrary<Body> bodies() {
        Arbitrary<Integer> numbers = Arbitraries.integers().between(1, 100_000);
        Arbitrary<Boolean> flags = Arbitraries.of(true, false);
        Arbitrary<String> texts = Arbitraries.strings().ofMaxLength(40);
        return Arbitraries.oneOf(List.of(
                templates(),
                customers(),
                Combinators.combine(names(), numbers, numbers, numbers, flags, flags)
                        .as((name, cold, after, warm, fencing, keys) -> new PoolContract(
                                new PoolId(name), Math.min(cold, warm), after, Math.max(cold, warm), fencing, keys)),
                Combinators.combine(names(), numbers, names(), numbers)
                        .as((model, version, pool, copies) ->
                                new PlacementContract(new ModelId(model), version, new PoolId(pool), copies)),
                Combinators.combine(names(), flags).as((name, out) -> new Body.DomainService(new DomainId(name), out)),
                Combinators.combine(names(), flags).as((name, out) -> new Body.VmService(new VmId(name), out)),
                Arbitraries.just(new Body.Removed()),
                Combinators.combine(texts, texts).as(Body.Unknown::new)));
    }

    private static Arbitrary<Body> templates() {
        Arbitrary<Integer> lengths = Arbitraries.of(1, 3, 4, 5, 6);
        Arbitrary<Boolean> flags = Arbitraries.of(true, false);
        return lengths.flatMap(
                length -> Combinators.combine(names(), stage().list().ofSize(length), durations(), flags, worths())
                        .as(SettingsPropertiesTest::template));
    }

    private static Template template(
            String id, List<Stage.Builder> stages, Duration deadline, boolean idempotent, double worth) {
        Template.Builder template =
                Template.builder(id).deadline(deadline).idempotent(idempotent).worth(worth);
        for (int index = 0; index < stages.size(); index++) {
            Stage generated = stages.get(index).build();
            StageWork work = stages.size() == 1 ? StageWork.CALL : generated.work();
            Stage.Builder stage = Stage.builder("s" + index)
                    .pool(generated.pool().value())
                    .work(work)
                    .operation(generated.operation())
                    .attempts(idempotent ? generated.attempts() : 1)
                    .hedge(idempotent && generated.hedge())
                    .timeout(generated.timeout());
            if (work == StageWork.GENERATE) {
                stage.model(generated.id().value());
            }
            template.stage(stage.build());
        }
        return template.build();
    }

    private static Arbitrary<Stage.Builder> stage() {
        Arbitrary<Integer> attempts = Arbitraries.integers().between(1, 5);
        Arbitrary<Boolean> flags = Arbitraries.of(true, false);
        return Combinators.combine(
                        names(), names(), names(), Arbitraries.of(StageWork.class), attempts, flags, durations())
                .as((id, pool, operation, work, maxAttempts, hedge, timeout) -> Stage.builder(id)
                        .pool(pool)
                        .operation(operation)
                        .work(work)
                        .attempts(maxAttempts)
                        .hedge(hedge)
                        .timeout(timeout));
    }

    private static Arbitrary<Body> customers() {
        Arbitrary<CustomerContract.Parameters> parameters = Combinators.combine(
                        durations().optional(),
                        worths().optional(),
                        Arbitraries.of(true, false).optional())
                .as((deadline, worth, idempotent) -> new CustomerContract.Parameters(deadline, worth, idempotent));
        Arbitrary<Double> shares = Arbitraries.doubles().between(0.01, 1000).ofScale(5);
        return Combinators.combine(
                        names(),
                        shares,
                        Arbitraries.maps(names().map(TemplateId::new), parameters)
                                .ofMaxSize(4))
                .as((name, share, entries) -> new CustomerContract(new CustomerId(name), share, entries));
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings().alpha().numeric().ofMinLength(1).ofMaxLength(60);
    }

    private static Arbitrary<Duration> durations() {
        return Arbitraries.longs()
                .between(1, DurationText.MAX_DURATION.toMillis())
                .map(Duration::ofMillis);
    }

    private static Arbitrary<Double> worths() {
        return Arbitraries.doubles().between(0, 1000).ofScale(6);
    }
}
