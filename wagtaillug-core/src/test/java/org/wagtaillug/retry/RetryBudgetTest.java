package org.wagtaillug.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final RetryBudget.Share ONE = new RetryBudget.Share(1, 1, true);
    private static final RetryBudget.Share FOUR = new RetryBudget.Share(9, 4, true);

    @Test
    void noWindowExceedsTheBudget() {
        // A whole pool fails under continuing load. Without a budget, every request would be attempted twice, and the
        // pool would face twice its normal load on recovery.
        RetryBudget budget = new RetryBudget(WINDOW, 0.2);
        int spent = 0;
        for (int request = 0; request < 100; request++) {
            Instant now = NOW.plusMillis(request * 50L);
            budget.onRequest(now);
            spent += budget.tryAcquire(FOUR, now) ? 1 : 0;
        }
        assertThat(spent).isEqualTo(24);
    }

    /** Guards against nodes of a large fleet that all send their most retries, each in its busiest window. */
    @Test
    void theDeviationOfTheLoadIsTakenFromTheFixedPart() {
        RetryBudget budget = new RetryBudget(WINDOW, 0.2);
        RetryBudget.Share share = new RetryBudget.Share(3, 4, true);
        int spent = 0;
        for (int request = 0; request < 100; request++) {
            budget.onRequest(NOW);
            spent += budget.tryAcquire(share, NOW) ? 1 : 0;
        }
        assertThat(spent).isEqualTo(21);
    }

    @Test
    void spentRetriesAreAvailableAgainAfterTheWindow() {
        RetryBudget budget = new RetryBudget(WINDOW, 0.2);
        assertThat(budget.tryAcquire(ONE, NOW)).isTrue();
        assertThat(budget.tryAcquire(ONE, NOW.plusSeconds(10))).isFalse();
        assertThat(budget.tryAcquire(ONE, NOW.plusMillis(10_001))).isTrue();
    }

    /** Guards against a node that is restarted and spends again what its earlier run has spent within the window. */
    @Test
    void aRunSpendsNothingWhileAnEarlierOneMayHave() {
        RetryBudget budget = new RetryBudget(WINDOW, 0.2);
        for (int request = 0; request < 100; request++) {
            budget.onRequest(NOW);
        }
        assertThat(budget.tryAcquire(new RetryBudget.Share(9, 4, false), NOW)).isFalse();
        assertThat(budget.tryAcquire(FOUR, NOW)).isTrue();
    }
}
