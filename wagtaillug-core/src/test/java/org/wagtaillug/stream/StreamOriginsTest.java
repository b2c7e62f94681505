package org.wagtaillug.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

class StreamOriginsTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration SECOND = Duration.ofSeconds(1);

    private static StreamOrigin origin(String stream, String version) {
        return new StreamOrigin(
                new RequestId(stream),
                new PoolId("model"),
                VersionKey.of(version),
                Optional.of(new StreamOrigin.Sender(new VmId("i-1"), 7, SECOND)),
                Duration.ofSeconds(10));
    }

    @Test
    void anOriginAgesAndExpires() {
        StreamOrigins origins = new StreamOrigins();
        origins.put(origin("a", "v1"), NOW);
        StreamOrigin found =
                origins.find(new RequestId("a"), NOW.plusSeconds(4)).orElseThrow();
        assertThat(found.lifetime()).isEqualTo(Duration.ofSeconds(6));
        assertThat(found.sender().orElseThrow().age()).isEqualTo(Duration.ofSeconds(5));
        assertThat(origins.find(new RequestId("a"), NOW.plusSeconds(10))).isEmpty();
        origins.expire(NOW.plusSeconds(10));
        assertThat(origins.size()).isZero();
    }

    /** Guards against memory that grows with the streams, or the lifetimes, that others state. */
    @Test
    void entriesAndLifetimesAreBounded() {
        StreamOrigins origins = new StreamOrigins(2);
        for (String stream : List.of("a", "b", "c")) {
            origins.put(
                    new StreamOrigin(
                            new RequestId(stream),
                            new PoolId("model"),
                            VersionKey.of("v1"),
                            Optional.empty(),
                            Duration.ofDays(1)),
                    NOW);
        }
        assertThat(origins.size()).isEqualTo(2);
        assertThat(origins.find(new RequestId("a"), NOW)).isEmpty();
        assertThat(origins.find(new RequestId("c"), NOW.plus(Duration.ofMinutes(3))))
                .isEmpty();
    }

    @Test
    void originsAreSavedOnceUnlessTheStoreLosesThem() {
        StreamOrigins origins = new StreamOrigins();
        origins.put(origin("a", "v1"), NOW);
        origins.put(origin("b", "v1"), NOW);
        origins.putSaved(List.of(origin("a", "v2"), origin("c", "v1")), NOW);
        assertThat(origins.unsaved(9, NOW)).extracting(StreamOrigin::stream).containsExactly(new RequestId("b"));
        assertThat(origins.find(new RequestId("a"), NOW).orElseThrow().version())
                .isEqualTo(VersionKey.of("v1"));
        origins.setAllUnsaved();
        assertThat(origins.unsaved(2, NOW)).hasSize(2);
        assertThat(origins.unsaved(9, NOW)).hasSize(3);
    }
}
