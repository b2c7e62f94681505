package org.wagtaillug.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    @Test
    void noWindowExceedsTheBudget() {
        // A whole pool fails under continuing load. Without a budget, every request would be attempted twice, and the
        // pool would face twice its normal load on recovery.
        RetryBudget budget = new RetryBudget(Duration.ofSeconds(10), 0.2, 4, () -> 1);
        int spent = 0;
        for (int request = 0; request < 100; request++) {
            Instant now = NOW.plusMillis(request * 50L);
            budget.onRequest(now);
            spent += budget.tryAcquire(now) ? 1 : 0;
        }
        assertThat(spent).isEqualTo(24);
    }

    @Test
    void spentRetriesAreAvailableAgainAfterTheWindow() {
        RetryBudget budget = new RetryBudget(Duration.ofSeconds(10), 0.2, 1, () -> 1);
        assertThat(budget.tryAcquire(NOW)).isTrue();
        assertThat(budget.tryAcquire(NOW.plusSeconds(10))).isFalse();
        assertThat(budget.tryAcquire(NOW.plusMillis(10_001))).isTrue();
    }
}
