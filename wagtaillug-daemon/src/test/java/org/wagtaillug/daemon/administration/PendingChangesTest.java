package org.wagtaillug.daemon.administration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

class PendingChangesTest {
    private final PendingChanges pending = new PendingChanges();

    @Test
    void aRepeatedChangeWaitsForTheOutcomeOfTheFirst() {
        PendingChanges.Registration first = pending.register("id", "change");
        PendingChanges.Registration repeat = pending.register("id", "change");
        assertThat(first.first()).isTrue();
        assertThat(repeat.first()).isFalse();
        pending.accepted("id", 7);
        assertThat(first.outcome()).isCompletedWithValue(Either.right(7L));
        assertThat(repeat.outcome()).isCompletedWithValue(Either.right(7L));
    }

    @Test
    void aRepeatedChangeGetsTheRefusalOfTheFirst() {
        Refusal refusal = Refusal.notRun(ResultCode.CHANGE_CROSSED, Duration.ZERO, "crossed");
        pending.register("id", "change");
        pending.refused("id", refusal);
        PendingChanges.Registration repeat = pending.register("id", "change");
        assertThat(repeat.first()).isFalse();
        assertThat(repeat.outcome()).isCompletedWithValue(Either.left(refusal));
    }

    @Test
    void anotherChangeWithAUsedIdIsDetected() {
        pending.register("id", "change");
        assertThat(pending.register("id", "other").same()).isFalse();
        pending.accepted("id", 7);
        assertThat(pending.register("id", "other").same()).isFalse();
        assertThat(pending.register("id", "change").same()).isTrue();
    }

    @Test
    void keepsTheLastOutcomesAndAllPendingChanges() {
        pending.register("waiting", "change");
        for (int number = 0; number <= PendingChanges.MAX_OUTCOMES; number++) {
            pending.register("id-" + number, "change");
            pending.accepted("id-" + number, number);
        }
        assertThat(pending.register("id-1", "change").first()).isFalse();
        assertThat(pending.register("waiting", "change").first()).isFalse();
        assertThat(pending.register("id-0", "change").first()).isTrue();
    }

    @Test
    void cancellingOneWaiterDoesNotAffectTheOthers() {
        PendingChanges.Registration first = pending.register("id", "change");
        PendingChanges.Registration repeat = pending.register("id", "change");
        first.outcome().cancel(false);
        pending.accepted("id", 7);
        assertThat(repeat.outcome()).isCompletedWithValue(Either.right(7L));
    }
}
