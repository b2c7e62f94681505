package org.wagtaillug.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadFileTest {
    private static final String WHOLE = """
            nodes: [http://127.0.0.1:8001]
            duration: 60s
            rate: 100
            burst: {at: 20s, for: 10s, factor: 3}
            customers:
              - {name: a, share: 3}
              - {name: b, share: 1}
            kinds:
              - {name: k, template: t, share: 1, worth: 1, deadline: 5s}
            """;

    @TempDir
    private Path folder;

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("load.yaml"), text);
    }

    private LoadFile whole() throws IOException {
        return LoadFile.read(file(WHOLE)).getOrElseThrow(problem -> new AssertionError(problem));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "rate: 100 | ratte: 100 | line 3: ratte: expected one of | nearest is 'rate'",
                "share: 3 | shere: 3 | line 6: customers[0].shere | nearest is 'share'",
                "duration: 60s | duration: 60 | line 2: duration | for example 250ms",
                "rate: 100 | rate: -1 | rate: found -1.0 | above 0",
                "deadline: 5s | stream: true | kinds[0].deadline | above 0s",
                "rate: 100 | rate: much | rate | much",
                "template: t, | | kinds[0].template: missing | expected a template's name",
            })
    void namesWhatIsWrong(String found, String replacement, String first, String second) throws IOException {
        String text = WHOLE.replace(found, replacement == null ? "" : replacement);
        Path file = file(text);
        assertThat(LoadFile.read(file).getLeft()).contains(file.toString(), first, second);
    }

    @Test
    void theSameSeedGivesTheSameArrivals() throws IOException {
        LoadFile file = whole();
        assertThat(Schedule.arrivals(file, 5)).isEqualTo(Schedule.arrivals(file, 5));
        assertThat(Schedule.arrivals(file, 6)).isNotEqualTo(Schedule.arrivals(file, 5));
    }

    @Test
    void arrivalsFollowRateBurstAndShares() throws IOException {
        long burst = 0;
        long ofA = 0;
        List<Arrival> arrivals = Schedule.arrivals(whole(), 1);
        for (Arrival arrival : arrivals) {
            long second = arrival.atNanos() / 1_000_000_000;
            burst += second >= 20 && second < 30 ? 1 : 0;
            ofA += arrival.customer().name().equals("a") ? 1 : 0;
        }
        assertThat(arrivals).hasSizeBetween(7_600, 8_400);
        assertThat(burst).isBetween(2_800L, 3_200L);
        assertThat(ofA / (double) arrivals.size()).isBetween(0.72, 0.78);
        assertThat(arrivals).isSortedAccordingTo((one, other) -> Long.compare(one.atNanos(), other.atNanos()));
    }

    @ParameterizedTest
    @CsvSource({"70s, warm_up: expected a time below the duration", "25s, burst.at: expected a time after the warm-up"})
    void refusesAWarmUpThatDoesNotFit(String warmUp, String problem) throws IOException {
        Path file = file(WHOLE + "warm_up: " + warmUp + "\n");
        assertThat(LoadFile.read(file).getLeft()).contains(problem);
    }

    /** The rate increases linearly during the warm-up, so its first half has a quarter of its requests. */
    @Test
    void theWarmUpRisesToTheWholeRate() throws IOException {
        LoadFile file = LoadFile.read(file(WHOLE.replace("rate: 100", "rate: 100\nwarm_up: 20s")))
                .getOrElseThrow(problem -> new AssertionError(problem));
        long[] parts = new long[6];
        for (Arrival arrival : Schedule.arrivals(file, 1)) {
            parts[(int) (arrival.atNanos() / 10_000_000_000L)]++;
        }
        assertThat(parts[0]).isBetween(200L, 300L);
        assertThat(parts[1]).isBetween(670L, 830L);
        assertThat(parts[2]).isBetween(2_800L, 3_200L);
        assertThat(parts[3]).isBetween(900L, 1_100L);
        assertThat(parts[5]).isBetween(900L, 1_100L);
    }

    @Property(seed = "11", tries = 50)
    void eventsComeOutWholeHoweverTheBytesAreCut(@ForAll @IntRange(min = 1, max = 40) int piece) {
        byte[] bytes = ": comment\ndata: {\"a\":\"é\"}\n\nevent: end\r\ndata: 1\ndata: 2\n\ndata: cut"
                .getBytes(StandardCharsets.UTF_8);
        List<String> events = new ArrayList<>();
        EventStreamParser parser = new EventStreamParser((name, data) -> events.add(name + " " + data));
        for (int from = 0; from < bytes.length; from += piece) {
            parser.parse(ByteBuffer.wrap(bytes, from, Math.min(piece, bytes.length - from)));
        }
        assertThat(events).containsExactly("message {\"a\":\"é\"}", "end 1\n2");
    }
}
