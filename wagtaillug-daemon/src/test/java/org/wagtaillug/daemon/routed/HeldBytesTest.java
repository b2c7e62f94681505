package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;

class HeldBytesTest {
    private static final int MEGABYTE = 1024 * 1024;
    private static final HeldBytes.Bounds BOUNDS = HeldBytes.Bounds.ofHeap(128L * MEGABYTE);
    private static final int EXCHANGES = 2000;

    private final HeldBytes bytes = new HeldBytes(BOUNDS);
    private final List<HeldBytes.Ending> endings = new ArrayList<>();
    private Instant now = Instant.EPOCH;

    private static HeldBytes.Account account(String id) {
        return new HeldBytes.Account(new RequestId(id), () -> {});
    }

    private HeldBytes.Account add(String id, long length) {
        HeldBytes.Account account = account(id);
        addAnswer(account, length);
        return account;
    }

    private void addAnswer(HeldBytes.Account account, long length) {
        bytes.addAnswer(account, length, now);
        endAll(account);
    }

    private void endAll(HeldBytes.Account asking) {
        Optional<HeldBytes.Ending> ending = bytes.chooseEnding(asking, now);
        while (ending.isPresent()) {
            endings.add(ending.get());
            bytes.close(ending.get().account());
            ending = bytes.chooseEnding(asking, now);
        }
    }

    private List<String> endedIds() {
        return endings.stream()
                .map(ending -> ending.account().request().value())
                .toList();
    }

    /** Guards against sound exchanges that are ended for the bytes of slow ones, and against bytes that stay counted. */
    @Test
    void ofManyExchangesOnlySlowOnesAreEnded() {
        Random random = new Random(4711);
        List<HeldBytes.Account> accounts = new ArrayList<>();
        for (int number = 0; number < EXCHANGES; number++) {
            accounts.add(account((number % 10 == 0 ? "slow-" : "sound-") + number));
        }
        for (int step = 0; step < 100; step++) {
            now = now.plusMillis(100);
            for (HeldBytes.Account account : accounts) {
                int length = 1 + random.nextInt(8192);
                addAnswer(account, length);
                boolean slow = account.request().value().startsWith("slow");
                bytes.onAnswerRead(account, slow ? length / 20 : length, now);
                assertThat(bytes.total()).isLessThanOrEqualTo(BOUNDS.total());
            }
        }
        assertThat(endedIds()).isNotEmpty().doesNotHaveDuplicates().allMatch(id -> id.startsWith("slow"));
        accounts.forEach(bytes::close);
        assertThat(bytes.total()).isZero();
    }

    /** Guards against an end of the fast reader of a long answer in place of those that do not read. */
    @Test
    void theOneThatHoldsMostAndReadsSlowestIsEnded() {
        add("little", 64 * 1024);
        HeldBytes.Account fast = add("fast", 15L * MEGABYTE);
        add("unread", 8L * MEGABYTE);
        HeldBytes.Account slow = add("slow", 8L * MEGABYTE);
        for (int second = 0; second < 4; second++) {
            now = now.plusSeconds(1);
            bytes.onAnswerRead(fast, MEGABYTE, now);
            addAnswer(fast, MEGABYTE);
            bytes.onAnswerRead(slow, 64 * 1024, now);
        }
        addAnswer(account("other"), 4L * MEGABYTE);
        assertThat(endedIds()).containsExactly("unread");
        assertThat(endings.getFirst().reason()).isEqualTo(HeldBytes.Reason.TOTAL_BOUND);
    }

    /** Guards against an end of exchanges that were read in time for the bytes of a new one. */
    @Test
    void anExchangeThatDoesNotFitBesideSoundOnesIsEndedItself() {
        for (int number = 0; number < 8; number++) {
            add("sound-" + number, 4L * MEGABYTE);
        }
        now = now.plusMillis(10);
        HeldBytes.Account late = account("late");
        bytes.addBody(late, 4L * MEGABYTE, now);
        endAll(late);
        assertThat(endedIds()).containsExactly("late");
    }

    @Test
    void anExchangeBeyondItsOwnBoundIsEnded() {
        HeldBytes.Account account = add("sound", BOUNDS.exchange());
        assertThat(endings).isEmpty();
        addAnswer(account, 1);
        assertThat(endings).singleElement().satisfies(ending -> {
            assertThat(ending.reason()).isEqualTo(HeldBytes.Reason.EXCHANGE_BOUND);
            assertThat(ending.held()).isEqualTo(BOUNDS.exchange() + 1);
        });
        assertThat(bytes.total()).isZero();
    }

    /** Guards against bodies that are counted once only although a second attempt reads them again. */
    @Test
    void aBodyThatIsReadSlowlyCountsUntilTheEnd() {
        HeldBytes.Account account = account("body");
        bytes.addBody(account, 4L * MEGABYTE, now);
        bytes.onBodyRead(account, 4L * MEGABYTE, now);
        assertThat(bytes.total()).isEqualTo(4L * MEGABYTE);
        bytes.onBodyRestarted(account, now);
        now = now.plus(HeldBytes.WINDOW).plus(Duration.ofSeconds(1));
        for (int number = 0; number < 8; number++) {
            add("answer-" + number, 4L * MEGABYTE);
        }
        assertThat(endedIds()).containsExactly("body");
    }

    /** Guards against an upstream that is not read for longer than one wait, and against one that never has to wait. */
    @Test
    void anUpstreamWaitsForASlowCallerAndIsReadAfterEachWait() {
        HeldBytes.Account account = add("slow", MEGABYTE / 2);
        assertThat(bytes.mayRead(account)).isTrue();
        addAnswer(account, MEGABYTE);
        assertThat(bytes.mayRead(account)).isFalse();
        bytes.onWaited(account);
        assertThat(bytes.mayRead(account)).isTrue();
        addAnswer(account, 2L * MEGABYTE);
        assertThat(bytes.mayRead(account)).isFalse();
        bytes.onAnswerRead(account, 3L * MEGABYTE, now);
        assertThat(bytes.mayRead(account)).isTrue();
    }
}
