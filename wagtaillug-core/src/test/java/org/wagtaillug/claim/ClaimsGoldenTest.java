package org.wagtaillug.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/**
 * Compares transcripts of whole sessions with golden files. {@code -Dwagtaillug.golden=write} rewrites the files;
 * review them before committing.
 */
class ClaimsGoldenTest {
    private static final boolean WRITE = "write".equals(System.getProperty("wagtaillug.golden"));

    @Test
    void lostAcknowledgementsAndCompetingClaims() throws IOException {
        ClaimsHarness harness = ClaimsHarness.caughtUp(Claims.builder(ClaimsHarness.SELF));
        harness.comment("the acknowledgement of the append is lost; the claim is read back and the outcome recorded");
        harness.requestClaim("r1", "deposit-1", "d", 2_000);
        harness.advance(10);
        harness.failAppend(true);
        harness.advance(5);
        harness.read(harness.lastAppended());
        harness.advance(40);
        harness.recordOutcome("r1", ResultCode.SERVED, RunState.RUN, Payload.of("{\"confirmation\":\"A7\"}"));
        harness.advance(300);
        harness.tick();
        harness.advance(10);
        harness.acknowledgeAppend();
        harness.read(harness.lastAppended());
        harness.comment("the caller got no answer and retries, once with a different body");
        harness.requestClaim("r2", "deposit-1", "d", 2_000);
        harness.requestClaim("r3", "deposit-1", "other", 2_000);
        harness.comment("another node claims the key first; its outcome is returned");
        harness.requestClaim("r4", "booking-1", "d", 2_000);
        ClaimRecord.Claimed rival = ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "booking-1", "d");
        harness.read(rival, harness.lastAppended());
        harness.acknowledgeAppend();
        harness.advance(200);
        harness.read(new ClaimRecord.Settled(
                rival.key(), "rival", ResultCode.SERVED, RunState.RUN, Payload.of("{\"table\":4}")));
        harness.comment("another node holds the key and stops responding");
        harness.read(ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival-2", "booking-2", "d"));
        harness.requestClaim("r5", "booking-2", "d", 500);
        harness.advance(500);
        harness.tick();
        verify("claims-lost-answers", harness);
    }

    @Test
    void logOutageAndDelayedClaim() throws IOException {
        ClaimsHarness harness = new ClaimsHarness(Claims.builder(ClaimsHarness.SELF));
        harness.comment("the stream has not been read to its tail yet");
        harness.tick();
        harness.requestClaim("r1", "booking-1", "d", 2_000);
        harness.read();
        harness.comment(
                "the append failed for certain, so the claim is appended again; the second append may take effect");
        harness.requestClaim("r2", "booking-1", "d", 2_000);
        harness.advance(10);
        harness.failAppend(false);
        harness.advance(200);
        harness.tick();
        harness.advance(10);
        harness.failAppend(true);
        harness.comment("the log becomes unavailable: pending requests are refused after one second, new ones at once");
        harness.failRead();
        harness.advance(600);
        harness.tick();
        harness.advance(600);
        harness.failRead();
        harness.requestClaim("r3", "booking-2", "d", 2_000);
        harness.comment("the log recovers and the claim of r2, which was refused as not run, is read");
        harness.advance(3_000);
        harness.tick();
        harness.read(harness.lastAppended());
        harness.advance(20);
        harness.acknowledgeAppend();
        harness.comment("another request can now run the key");
        harness.read(harness.lastAppended());
        harness.requestClaim("r4", "booking-1", "d", 2_000);
        harness.read(harness.lastAppended());
        harness.acknowledgeAppend();
        harness.comment("no upstream is available, so the request is never sent");
        harness.abandon("r4");
        harness.advance(10);
        harness.tick();
        harness.read(harness.lastAppended());
        harness.acknowledgeAppend();
        harness.comment("an hour later the key is too old");
        harness.advance(Duration.ofMinutes(55));
        harness.requestClaim("r5", "booking-1", "d", 2_000);
        verify("claims-outage", harness);
    }

    private static void verify(String name, ClaimsHarness harness) throws IOException {
        if (WRITE) {
            Path file = Path.of("src/test/resources/golden", name + ".txt");
            Files.createDirectories(file.getParent());
            Files.writeString(file, harness.transcript());
            return;
        }
        try (InputStream golden = ClaimsGoldenTest.class.getResourceAsStream("/golden/" + name + ".txt")) {
            assertThat(harness.transcript()).isEqualTo(new String(golden.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
