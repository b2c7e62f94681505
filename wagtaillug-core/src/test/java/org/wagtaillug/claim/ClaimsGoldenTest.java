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

/** Whole sessions as text. {@code -Dwagtaillug.golden=write} writes them anew, to be read before they are committed. */
class ClaimsGoldenTest {
    private static final boolean WRITE = "write".equals(System.getProperty("wagtaillug.golden"));

    @Test
    void lostAnswersAndRivals() throws IOException {
        ClaimsSession session = ClaimsSession.caughtUp(Claims.builder(ClaimsSession.SELF));
        session.say("a deposit: the append's answer is lost, the claim is found by reading, and the outcome recorded");
        session.ask("r1", "deposit-1", "d", 2_000);
        session.after(10);
        session.appendFails(true);
        session.after(5);
        session.read(session.lastAppended());
        session.after(40);
        session.settled("r1", ResultCode.SERVED, RunState.RUN, Payload.of("{\"confirmation\":\"A7\"}"));
        session.after(300);
        session.tick();
        session.after(10);
        session.appendAnswered();
        session.read(session.lastAppended());
        session.say("its caller did not hear and tries again, also with another body");
        session.ask("r2", "deposit-1", "d", 2_000);
        session.ask("r3", "deposit-1", "other", 2_000);
        session.say("another node claims first; its outcome is repeated");
        session.ask("r4", "booking-1", "d", 2_000);
        ClaimRecord.Claimed rival = ClaimsSession.claimOf(ClaimsSession.OTHER, "rival", "booking-1", "d");
        session.read(rival, session.lastAppended());
        session.appendAnswered();
        session.after(200);
        session.read(new ClaimRecord.Settled(
                rival.key(), "rival", ResultCode.SERVED, RunState.RUN, Payload.of("{\"table\":4}")));
        session.say("another node holds the key and falls silent");
        session.read(ClaimsSession.claimOf(ClaimsSession.OTHER, "rival-2", "booking-2", "d"));
        session.ask("r5", "booking-2", "d", 500);
        session.after(500);
        session.tick();
        verify("claims-lost-answers", session);
    }

    @Test
    void outageAndLateClaim() throws IOException {
        ClaimsSession session = new ClaimsSession(Claims.builder(ClaimsSession.SELF));
        session.say("not read to the tail yet");
        session.tick();
        session.ask("r1", "booking-1", "d", 2_000);
        session.read();
        session.say("surely failed: the same claim again, and then nobody knows");
        session.ask("r2", "booking-1", "d", 2_000);
        session.after(10);
        session.appendFails(false);
        session.after(200);
        session.tick();
        session.after(10);
        session.appendFails(true);
        session.say("the log goes down: what waits is answered after a second, what comes is answered at once");
        session.readFails();
        session.after(600);
        session.tick();
        session.after(600);
        session.readFails();
        session.ask("r3", "booking-2", "d", 2_000);
        session.say("the log is back, and the claim of r2 shows: its caller was told that it did not run");
        session.after(3_000);
        session.tick();
        session.read(session.lastAppended());
        session.after(20);
        session.appendAnswered();
        session.say("so another request may run the key");
        session.read(session.lastAppended());
        session.ask("r4", "booking-1", "d", 2_000);
        session.read(session.lastAppended());
        session.appendAnswered();
        session.say("it finds no upstream and never sends");
        session.abandon("r4");
        session.after(10);
        session.tick();
        session.read(session.lastAppended());
        session.appendAnswered();
        session.say("an hour later the key is too old");
        session.after(Duration.ofMinutes(55));
        session.ask("r5", "booking-1", "d", 2_000);
        verify("claims-outage", session);
    }

    private static void verify(String name, ClaimsSession session) throws IOException {
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
