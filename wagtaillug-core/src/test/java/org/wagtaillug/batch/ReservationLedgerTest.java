package org.wagtaillug.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/** A pool that serves 100 items per second in calls of 200 ms, with room for 1000 bytes, of which 100 per second are released. */
class ReservationLedgerTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("rank");
    private static final NodeId NODE = new NodeId(new VmId("node"), 1);
    private static final Duration CALL = Duration.ofMillis(200);

    private final ReservationLedger ledger = new ReservationLedger();
    private long lastNumber;

    private static PoolLoad load(int queued) {
        return new PoolLoad(100, 100, queued, CALL, CALL, 1000, 100, Duration.ofSeconds(4), Duration.ZERO);
    }

    private Reservation reservation(int items, int rank, long bytes, int arrivesInMillis, int targetMillis) {
        lastNumber++;
        Instant target = NOW.plusMillis(targetMillis);
        return new Reservation(
                new OrderId(NODE, lastNumber),
                new RequestId("request-" + lastNumber),
                1,
                POOL,
                items,
                bytes,
                new BatchOrder.Urgency(rank, target, target.plusSeconds(2)),
                NOW.plusMillis(arrivesInMillis));
    }

    private Reservation.Answer request(int items, int rank, int arrivesInMillis, int targetMillis) {
        return ledger.request(reservation(items, rank, 0, arrivesInMillis, targetMillis), load(0), NOW);
    }

    private static BatchOrder order(Reservation reservation) {
        return new BatchOrder(
                new OrderId(NODE, 700),
                reservation.request(),
                reservation.step(),
                POOL,
                reservation.items(),
                Optional.empty(),
                List.of("input"),
                reservation.resultBytes(),
                Optional.empty(),
                reservation.urgency(),
                OrderContext.NONE);
    }

    /** Guards against a burst that is admitted because its items are still at the first pool. */
    @Test
    void reservedItemsAreWorkAhead() {
        assertThat(request(100, 1, 500, 1000).granted()).isTrue();
        Reservation.Answer second = request(100, 1, 500, 1900);
        assertThat(second.queueWait()).isEqualTo(Duration.ofSeconds(1));
        assertThat(second.granted()).isTrue();
        Reservation.Answer third = request(10, 1, 500, 1800);
        assertThat(third.granted()).isFalse();
        // Completed after 500 + 2000 + 200 ms, and wanted until 1800 ms.
        assertThat(third.retryAfter()).isEqualTo(Duration.ofMillis(900));
        assertThat(ledger.items(POOL)).isEqualTo(200);
    }

    /** Guards against work that is counted although it is done, or less urgent, or later. */
    @Test
    void onlyWhatIsServedBeforeCounts() {
        assertThat(request(100, 1, 0, 5000).granted()).isTrue();
        assertThat(request(10, 0, 0, 5000).queueWait()).isZero();
        assertThat(request(10, 1, 2000, 5000).queueWait()).isZero();
        assertThat(ledger.request(reservation(10, 0, 0, 0, 500), load(100), NOW).queueWait())
                .isEqualTo(Duration.ofMillis(1100));
    }

    /** Guards against results that are produced while no server can keep them. */
    @Test
    void resultsWaitForRoom() {
        assertThat(ledger.request(reservation(8, 1, 100, 0, 4000), load(0), NOW).roomWait())
                .isZero();
        Reservation.Answer second = ledger.request(reservation(4, 1, 100, 0, 400), load(0), NOW);
        assertThat(second.roomWait()).isEqualTo(Duration.ofSeconds(2));
        assertThat(second.granted()).isFalse();
        assertThat(ledger.request(reservation(4, 0, 100, 0, 400), load(0), NOW).granted())
                .isTrue();
    }

    /** Guards against a retry past its target that an idle pool refuses. */
    @Test
    void anIdlePoolTakesWhatMeetsItsDeadline() {
        assertThat(request(10, 1, 100, -1500).granted()).isTrue();
        assertThat(request(10, 1, 100, -1900).granted()).isFalse();
    }

    /** Guards against capacity that stays reserved when its order has come, or nothing more is heard of its request. */
    @Test
    void aReservationEndsWithItsOrderOrItsTime() {
        Reservation ordered = reservation(10, 1, 0, 500, 4000);
        Reservation cancelled = reservation(10, 1, 0, 500, 4000);
        Reservation lost = reservation(10, 1, 0, 500, 4000);
        for (Reservation each : List.of(ordered, cancelled, lost)) {
            assertThat(ledger.request(each, load(0), NOW).granted()).isTrue();
        }
        assertThat(ledger.onOrder(order(ordered))).isTrue();
        assertThat(ledger.onOrder(order(ordered))).isFalse();
        ledger.cancel(cancelled.id());
        assertThat(ledger.onOrder(order(cancelled))).isFalse();
        assertThat(ledger.expire(NOW.plusMillis(1499))).isEmpty();
        assertThat(ledger.expire(NOW.plusMillis(1500))).containsExactly(lost);
        assertThat(ledger.items(POOL)).isZero();
    }

    /** Guards against orders without a reservation that are admitted ahead of reserved items that arrive meanwhile. */
    @Test
    void ordersWithoutAReservationWaitForReservedItems() {
        assertThat(request(50, 1, 400, 4000).granted()).isTrue();
        assertThat(ledger.itemsBefore(POOL, 1, 100, 100, NOW)).isEqualTo(50);
        assertThat(ledger.itemsBefore(POOL, 0, 100, 100, NOW)).isZero();
        assertThat(ledger.itemsBefore(POOL, 1, 10, 100, NOW)).isZero();
    }
}
