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
        ClaimsHarness session = ClaimsHarness.caughtUp(Claims.builder(ClaimsHarness.SELF));
        session.comment("the acknowledgement of the append is lost; the claim is read back and the outcome recorded");
        session.requestClaim("r1", "deposit-1", "d", 2_000);
        session.advance(10);
        session.failAppend(true);
        session.advance(5);
        session.read(session.lastAppended());
        session.advance(40);
        session.recordOutcome("r1", ResultCode.SERVED, RunState.RUN, Payload.of("{\"confirmation\":\"A7\"}"));
        session.advance(300);
        session.tick();
        session.advance(10);
        session.acknowledgeAppend();
        session.read(session.lastAppended());
        session.comment("the caller got no answer and retries, once with a different body");
        session.requestClaim("r2", "deposit-1", "d", 2_000);
        session.requestClaim("r3", "deposit-1", "other", 2_000);
        session.comment("another node claims the key first; its outcome is returned");
        session.requestClaim("r4", "booking-1", "d", 2_000);
        ClaimRecord.Claimed rival = ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival", "booking-1", "d");
        session.read(rival, session.lastAppended());
        session.acknowledgeAppend();
        session.advance(200);
        session.read(new ClaimRecord.Settled(
                rival.key(), "rival", ResultCode.SERVED, RunState.RUN, Payload.of("{\"table\":4}")));
        session.comment("another node holds the key and stops responding");
        session.read(ClaimsHarness.claimOf(ClaimsHarness.OTHER, "rival-2", "booking-2", "d"));
        session.requestClaim("r5", "booking-2", "d", 500);
        session.advance(500);
        session.tick();
        verify("claims-lost-answers", session);
    }

    @Test
    void logOutageAndDelayedClaim() throws IOException {
        ClaimsHarness session = new ClaimsHarness(Claims.builder(ClaimsHarness.SELF));
        session.comment("the stream has not been read to its tail yet");
        session.tick();
        session.requestClaim("r1", "booking-1", "d", 2_000);
        session.read();
        session.comment(
                "the append failed for certain, so the claim is appended again; the second append may take effect");
        session.requestClaim("r2", "booking-1", "d", 2_000);
        session.advance(10);
        session.failAppend(false);
        session.advance(200);
        session.tick();
        session.advance(10);
        session.failAppend(true);
        session.comment("the log becomes unavailable: pending requests are refused after one second, new ones at once");
        session.failRead();
        session.advance(600);
        session.tick();
        session.advance(600);
        session.failRead();
        session.requestClaim("r3", "booking-2", "d", 2_000);
        session.comment("the log recovers and the claim of r2, which was refused as not run, is read");
        session.advance(3_000);
        session.tick();
        session.read(session.lastAppended());
        session.advance(20);
        session.acknowledgeAppend();
        session.comment("another request can now run the key");
        session.read(session.lastAppended());
        session.requestClaim("r4", "booking-1", "d", 2_000);
        session.read(session.lastAppended());
        session.acknowledgeAppend();
        session.comment("no upstream is available, so the request is never sent");
        session.abandon("r4");
        session.advance(10);
        session.tick();
        session.read(session.lastAppended());
        session.acknowledgeAppend();
        session.comment("an hour later the key is too old");
        session.advance(Duration.ofMinutes(55));
        session.requestClaim("r5", "booking-1", "d", 2_000);
        verify("claims-outage", session);
    }

    private static void verify(String name, ClaimsHarness session) throws IOException {
        if (WRITE) {
            Path file = Path.of("src/test/resources/golden", name + ".txt");
            Files.createDirectories(file.getParent());
            Files.writeString(file, session.transcript());
            return;
        }
        try (InputStream golden = ClaimsGoldenTest.class.getResourceAsStream("/golden/" + name + ".txt")) {
            assertThat(session.transcript()).isEqualTo(new String(golden.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
