package org.wagtaillug.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

class StreamOriginRecordTest {
    /** Guards against versions of any content or length that break a record or make it grow. */
    @Test
    void recordsHoldAnyText() {
        List<StreamOrigin> origins = List.of(
                origin("", Optional.empty()),
                origin(
                        "1\t2\n3 %41+\u00e9",
                        Optional.of(new StreamOrigin.Sender(new VmId("i-1"), 9, Duration.ofMillis(3)))),
                origin("x".repeat(10_000), Optional.empty()));
        byte[] value = StreamOriginRecord.encode(origins);
        assertThat(StreamOriginRecord.decode(value).get()).isEqualTo(origins);
        assertThat(value.length).isLessThan(400);
    }

    private static StreamOrigin origin(String version, Optional<StreamOrigin.Sender> sender) {
        return new StreamOrigin(
                new RequestId("r 1"), new PoolId("model"), VersionKey.of(version), sender, Duration.ofSeconds(4));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "2", "1\na", "1\na\tb\tc\tmany", "1\n\tb\tc\t5", "1\na\tb\t%zz\t5"})
    void unreadableRecordsAreReported(String text) {
        assertThat(StreamOriginRecord.decode(text.getBytes(StandardCharsets.UTF_8))
                        .isLeft())
                .isTrue();
    }
}
