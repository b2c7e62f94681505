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
    void aRepeatWaitsForTheOutcomeOfTheFirst() {
        PendingChanges.Known first = pending.await("id", "change");
        PendingChanges.Known repeat = pending.await("id", "change");
        assertThat(first.first()).isTrue();
        assertThat(repeat.first()).isFalse();
        pending.accepted("id", 7);
        assertThat(first.outcome()).isCompletedWithValue(Either.right(7L));
        assertThat(repeat.outcome()).isCompletedWithValue(Either.right(7L));
    }

    @Test
    void aRepeatIsGivenTheRefusalOfTheFirst() {
        Refusal refusal = Refusal.notRun(ResultCode.CHANGE_CROSSED, Duration.ZERO, "crossed");
        pending.await("id", "change");
        pending.refused("id", refusal);
        PendingChanges.Known repeat = pending.await("id", "change");
        assertThat(repeat.first()).isFalse();
        assertThat(repeat.outcome()).isCompletedWithValue(Either.left(refusal));
    }

    @Test
    void anotherChangeUnderAUsedIdIsTold() {
        pending.await("id", "change");
        assertThat(pending.await("id", "other").same()).isFalse();
        pending.accepted("id", 7);
        assertThat(pending.await("id", "other").same()).isFalse();
        assertThat(pending.await("id", "change").same()).isTrue();
    }

    @Test
    void theLastOutcomesAreRememberedAndThoseThatAreWaitedForAlways() {
        pending.await("waiting", "change");
        for (int number = 0; number <= PendingChanges.REMEMBERED; number++) {
            pending.await("id-" + number, "change");
            pending.accepted("id-" + number, number);
        }
        assertThat(pending.await("id-1", "change").first()).isFalse();
        assertThat(pending.await("waiting", "change").first()).isFalse();
        assertThat(pending.await("id-0", "change").first()).isTrue();
    }

    @Test
    void oneThatGivesUpWaitingLeavesTheOthersWaiting() {
        PendingChanges.Known first = pending.await("id", "change");
        PendingChanges.Known repeat = pending.await("id", "change");
        first.outcome().cancel(false);
        pending.accepted("id", 7);
        assertThat(repeat.outcome()).isCompletedWithValue(Either.right(7L));
    }
}
