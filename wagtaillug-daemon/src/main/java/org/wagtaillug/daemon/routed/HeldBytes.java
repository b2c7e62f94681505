package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.RequestId;

/**
 * Accounts for the bytes that a node holds for readers, which are callers that read answers and upstreams that read
 * request bodies, and decides which exchange may hold more and which one is ended. Designed for some thousand open
 * exchanges with some ten thousand changes per second; a choice among them is made only beyond the total bound. Has no
 * clock of its own and does no I/O. Thread-safe.
 */
final class HeldBytes {
    /** Part of a body that is given to a connection at a time; progress within a part cannot be seen. */
    static final int PART_BYTES = 64 * 1024;

    /** The time for which reads count; shorter than the seconds after which servers abort an answer that stays unread. */
    static final Duration WINDOW = Duration.ofSeconds(4);

    /** A reader that needs less time for all that is held for it is not slow. */
    private static final double MIN_SLOW_SECONDS = 1;

    /** On an idle node, so many exchanges can hold what one may hold before its upstream has to wait. */
    private static final int WAIT_DIVISOR = 32;

    /**
     * What is read after each full wait. The system wakes a writer when a third of its send buffer of up to 4 MiB is free;
     * smaller steps would leave an upstream blocked for several waits.
     */
    private static final long STEP_BYTES = 24L * PART_BYTES;

    private static final int SLOTS = (int) WINDOW.toSeconds() + 1;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Bounds bounds;
    private final Set<Account> holding = new LinkedHashSet<>();
    private long total;
    private long endedBytes;

    /**
     * The bounds, in bytes.
     *
     * @param exchange for each exchange
     * @param total for all exchanges together
     */
    record Bounds(long exchange, long total) {
        /** A quarter of the heap for all: as much again is left for incomplete answers, which are bounded separately. */
        private static final int TOTAL_DIVISOR = 4;

        /**
         * An eighth of the heap for one, 16 MiB of 128: the longest body, complete answer and kept failure take 4 MiB
         * each, and a stream that is read holds some kilobytes.
         */
        private static final int EXCHANGE_DIVISOR = 8;

        static Bounds ofHeap(long maxHeapBytes) {
            return new Bounds(maxHeapBytes / EXCHANGE_DIVISOR, maxHeapBytes / TOTAL_DIVISOR);
        }
    }

    /** The bound that an exchange is ended for. */
    enum Reason {
        EXCHANGE_BOUND,
        TOTAL_BOUND
    }

    /**
     * An exchange that is to be ended.
     *
     * @param account its account
     * @param reason the bound that was exceeded
     * @param held bytes held for it
     * @param read bytes read by its readers within {@link #WINDOW}
     * @param total bytes held for all exchanges
     * @param bound the bound, in bytes
     */
    record Ending(Account account, Reason reason, long held, long read, long total, long bound) {}

    /** The bytes of one exchange. Its fields are guarded by the lock of {@link HeldBytes}. */
    static final class Account {
        private final RequestId request;
        private final Runnable end;
        private final long[] readInSecond = new long[SLOTS];
        private long newestSecond;
        private Instant unreadSince = Instant.MAX;
        private long answer;
        private long body;
        private long kept;
        private long unsentBody;
        private long waitAbove;
        private boolean ended;
        private boolean closed;

        /**
         * Creates an account without bytes.
         *
         * @param end ends the exchange, to be run by whoever carries out an {@link Ending}
         */
        Account(RequestId request, Runnable end) {
            this.request = request;
            this.end = end;
        }

        void end() {
            end.run();
        }

        RequestId request() {
            return request;
        }

        private long held() {
            return answer + body + kept;
        }

        private long unread() {
            return answer + unsentBody;
        }

        private void addRead(long bytes, Instant now) {
            skipTo(now);
            readInSecond[slot(newestSecond)] += bytes;
        }

        private long read(Instant now) {
            skipTo(now);
            long sum = 0;
            for (long bytes : readInSecond) {
                sum += bytes;
            }
            return sum;
        }

        private void skipTo(Instant now) {
            long second = now.getEpochSecond();
            long first = Math.max(newestSecond + 1, second - SLOTS + 1);
            for (long skipped = first; skipped <= second; skipped++) {
                readInSecond[slot(skipped)] = 0;
            }
            newestSecond = Math.max(newestSecond, second);
        }

        private static int slot(long second) {
            return (int) Math.floorMod(second, (long) SLOTS);
        }

        /**
         * The time in which the readers take what is held for them at their latest rate. A part that is being read
         * counts as read, or readers of a few bytes would seem slower than any that hold much.
         */
        private double secondsToRead(Instant now) {
            if (unread() <= 0) {
                return 0;
            }
            Duration since = Duration.between(unreadSince, now);
            Duration observed = since.compareTo(WINDOW) < 0 ? since : WINDOW;
            return unread() * (observed.toMillis() / MILLIS_PER_SECOND) / (read(now) + PART_BYTES);
        }
    }

    HeldBytes(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Adds a part of an answer that the caller has to read. */
    synchronized void addAnswer(Account account, long bytes, Instant now) {
        change(account, () -> account.answer += bytes, now);
    }

    /** Records that the caller has read a part of an answer, which is not held any more. */
    synchronized void onAnswerRead(Account account, long bytes, Instant now) {
        account.addRead(bytes, now);
        change(account, () -> account.answer -= bytes, now);
        if (account.answer < waitAbove()) {
            account.waitAbove = 0;
        }
    }

    /** Adds a request body, of which an upstream has read nothing. */
    synchronized void addBody(Account account, long bytes, Instant now) {
        change(
                account,
                () -> {
                    account.body += bytes;
                    account.unsentBody = account.body;
                },
                now);
    }

    /** Records that an upstream has read a part of the body, which is held for another attempt. */
    synchronized void onBodyRead(Account account, long bytes, Instant now) {
        account.addRead(bytes, now);
        change(account, () -> account.unsentBody = Math.max(0, account.unsentBody - bytes), now);
    }

    /** Records that the body is sent from its start. */
    synchronized void onBodyRestarted(Account account, Instant now) {
        change(account, () -> account.unsentBody = account.body, now);
    }

    /** Sets the length of a complete answer that is kept and may be forwarded later. */
    synchronized void keep(Account account, long bytes, Instant now) {
        change(account, () -> account.kept = bytes, now);
    }

    /** Removes all bytes of an exchange; later changes have no effect. */
    synchronized void close(Account account) {
        if (account.closed) {
            return;
        }
        account.closed = true;
        total -= account.held();
        endedBytes -= account.ended ? account.held() : 0;
        holding.remove(account);
    }

    private void change(Account account, Runnable change, Instant now) {
        if (account.closed) {
            return;
        }
        long heldBefore = account.held();
        boolean unreadBefore = account.unread() > 0;
        change.run();
        long added = account.held() - heldBefore;
        total += added;
        endedBytes += account.ended ? added : 0;
        if (account.unread() > 0 && !unreadBefore) {
            account.unreadSince = now;
        }
        if (account.held() > 0) {
            holding.add(account);
            return;
        }
        holding.remove(account);
    }

    /** The bytes held for all exchanges. */
    synchronized long total() {
        return total;
    }

    /** Whether more of the answer may be read from its upstream, as the caller has not left too much of it unread. */
    synchronized boolean mayRead(Account account) {
        return account.closed || account.answer <= Math.max(account.waitAbove, waitAbove());
    }

    /** Records that the upstream has waited as long as it may: some more is read from it before it waits again. */
    synchronized void onWaited(Account account) {
        account.waitAbove = account.answer + STEP_BYTES;
    }

    private long waitAbove() {
        return Math.max(2L * PART_BYTES, (bounds.total() - total) / WAIT_DIVISOR);
    }

    /**
     * Decides whether an exchange has to be ended after one has taken more bytes. The chosen one counts as ended from
     * then on. Further ones may have to be ended until the result is empty.
     *
     * @param asking the exchange that has taken more bytes
     */
    synchronized Optional<Ending> chooseEnding(Account asking, Instant now) {
        boolean askingOpen = !asking.ended && !asking.closed;
        if (askingOpen && asking.held() > bounds.exchange()) {
            return Optional.of(end(asking, Reason.EXCHANGE_BOUND, bounds.exchange(), now));
        }
        if (total - endedBytes <= bounds.total()) {
            return Optional.empty();
        }
        Optional<Account> slowest = slowest(now);
        if (slowest.isPresent()) {
            return slowest.map(account -> end(account, Reason.TOTAL_BOUND, bounds.total(), now));
        }
        return askingOpen ? Optional.of(end(asking, Reason.TOTAL_BOUND, bounds.total(), now)) : Optional.empty();
    }

    /** The exchange that needs most time to be read, which is one that holds much, reads slowly, or both. */
    private Optional<Account> slowest(Instant now) {
        Optional<Account> slowest = Optional.empty();
        double mostSeconds = MIN_SLOW_SECONDS;
        for (Account account : holding) {
            double seconds = account.secondsToRead(now);
            if (!account.ended && seconds > mostSeconds) {
                slowest = Optional.of(account);
                mostSeconds = seconds;
            }
        }
        return slowest;
    }

    private Ending end(Account account, Reason reason, long bound, Instant now) {
        account.ended = true;
        endedBytes += account.held();
        return new Ending(account, reason, account.held(), account.read(now), total, bound);
    }
}
