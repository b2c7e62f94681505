package org.wagtaillug.standin.upstream;

import java.util.List;
import java.util.Optional;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.FaultGate;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.UpstreamOptions;

/**
 * What all upstreams share: slots with priorities, the cold start and falling over, restart, the lagging load report
 * and the counters. Every method runs under the object's own lock.
 *
 * @param <J> the kind of job
 */
abstract class Upstream<J extends Job> implements StandIn {
    private static final System.Logger LOGGER = System.getLogger(Upstream.class.getName());
    private static final String PRIORITY = "Wagtaillug-Priority";
    private static final int DEFAULT_PRIORITY = 5;
    private static final int HIGHEST_PRIORITY = 9;

    private final String name;
    private final UpstreamOptions options;
    private final Timers timers;
    private final FaultGate faults = new FaultGate();
    private final SlotPool<J> slots;
    private final Counters.Tally tally = new Counters.Tally();
    private long startedAt;
    private long downUntil;
    private long reportedAt;
    private int reportedRunning;
    private int reportedWaiting;

    Upstream(String name, UpstreamOptions options, Timers timers) {
        this.name = name;
        this.options = options;
        this.timers = timers;
        this.slots = new SlotPool<>(options.slots(), options.queue(), options.coldLimit(), options.warmAfter());
        this.startedAt = timers.now();
        this.reportedAt = startedAt;
        timers.every(options.loadLagMillis(), this::report);
    }

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final FaultGate faults() {
        return faults;
    }

    @Override
    public final boolean doesWork(Exchange exchange) {
        return !exchange.method().equals("GET");
    }

    @Override
    public final synchronized void handle(Exchange exchange) {
        if (timers.now() < downUntil) {
            exchange.refuse(503, name + " restarts");
            return;
        }
        if (exchange.method().equals("GET") && exchange.path().equals("/load")) {
            exchange.answer(200, describe(load()));
            return;
        }
        if (exchange.method().equals("GET") && exchange.path().equals("/counters")) {
            exchange.answer(200, tally.snapshot(slots.peakWhileCold()));
            return;
        }
        work(exchange);
    }

    @Override
    public final synchronized void restart(long downMillis) {
        long now = timers.now();
        long down = downMillis < 0 ? options.restartMillis() : downMillis;
        downUntil = now + down;
        startedAt = Math.max(downUntil, startedAt + 1);
        List<J> failed = slots.restart();
        reset();
        report();
        for (J job : failed) {
            job.exchange().fail(name + " has restarted");
        }
    }

    /** Answers a call that is neither a report nor a fault. */
    abstract void work(Exchange exchange);

    /** Starts the work on a job that has got a slot. */
    abstract void start(J job);

    /** Forgets what does not survive a restart. */
    abstract void reset();

    /** Adds what this kind of upstream reports besides. */
    LoadReport describe(LoadReport plain) {
        return plain;
    }

    /** Takes a job if there is room, and answers the call otherwise. */
    final boolean offer(J job) {
        Optional<Integer> priority = priority(job.exchange());
        if (priority.isEmpty()) {
            job.exchange().refuse(400, PRIORITY + ": expected a whole number from 0 to 9");
            return false;
        }
        switch (slots.offer(job, priority.get())) {
            case RUNS -> start(job);
            case WAITS -> LOGGER.log(System.Logger.Level.DEBUG, "{0}: a request waits", name);
            case FULL -> {
                tally.refused();
                job.exchange().refuse(429, name + " is overloaded");
                return false;
            }
            case TOO_MUCH_WHILE_COLD -> {
                fallOver(job);
                return false;
            }
            default -> throw new IllegalStateException("unknown outcome");
        }
        tally.taken(timers.now());
        return true;
    }

    /** Counts a job as done and gives its slot to the next. */
    final void finish(J job) {
        tally.executed(job.ids().request());
        slots.finish(job).ifPresent(this::start);
    }

    /** Takes out a job that nobody waits for any more. */
    final synchronized void cancel(J job) {
        if (!slots.all().contains(job)) {
            return;
        }
        tally.cancelled();
        slots.remove(job).ifPresent(this::start);
    }

    /** Notes whether a job's prefix was cached. */
    final void notePrefix(boolean cached) {
        tally.prefix(cached);
    }

    final boolean isRunning(J job) {
        return slots.holds(job);
    }

    final SlotPool<J> slots() {
        return slots;
    }

    final Timers timers() {
        return timers;
    }

    private void fallOver(J last) {
        LOGGER.log(System.Logger.Level.INFO, "{0}: falls over while cold", name);
        tally.fellOver();
        restart(options.restartMillis());
        last.exchange().fail(name + " has fallen over");
    }

    private LoadReport load() {
        return new LoadReport(
                startedAt, reportedAt, reportedRunning, reportedWaiting, options.slots(), null, null, null, null);
    }

    private synchronized void report() {
        reportedAt = timers.now();
        reportedRunning = slots.runningCount();
        reportedWaiting = slots.waitingCount();
    }

    private static Optional<Integer> priority(Exchange exchange) {
        Optional<String> header = exchange.header(PRIORITY);
        if (header.isEmpty()) {
            return Optional.of(DEFAULT_PRIORITY);
        }
        try {
            int priority = Integer.parseInt(header.get());
            return priority < 0 || priority > HIGHEST_PRIORITY ? Optional.empty() : Optional.of(priority);
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
