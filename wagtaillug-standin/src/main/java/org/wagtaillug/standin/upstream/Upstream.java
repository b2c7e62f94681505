package org.wagtaillug.standin.upstream;

import java.util.List;
import java.util.Optional;
import org.wagtaillug.standin.http.ActiveFaults;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.UpstreamOptions;

/**
 * Behaviour common to all upstreams: slots with priorities, cold start, crash on overload while cold, restart, the delayed
 * load report and the counters. All methods hold the lock of this object.
 *
 * @param <J> the type of job
 */
abstract class Upstream<J extends Job> implements StandIn {
    private static final System.Logger LOGGER = System.getLogger(Upstream.class.getName());
    private static final String PRIORITY = "Wagtaillug-Priority";
    private static final int DEFAULT_PRIORITY = 5;
    private static final int HIGHEST_PRIORITY = 9;

    private final String name;
    private final UpstreamOptions options;
    private final Timers timers;
    private final ActiveFaults faults = new ActiveFaults();
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
    public final ActiveFaults faults() {
        return faults;
    }

    @Override
    public final boolean allowsAnswerFaults(Exchange exchange) {
        return !exchange.method().equals("GET");
    }

    @Override
    public final synchronized void handle(Exchange exchange) {
        if (timers.now() < downUntil) {
            exchange.refuse(503, name + " is restarting");
            return;
        }
        if (exchange.method().equals("GET") && exchange.path().equals("/load")) {
            exchange.answer(200, withDetails(load()));
            return;
        }
        if (exchange.method().equals("GET") && exchange.path().equals("/counters")) {
            exchange.answer(200, tally.snapshot(slots.peakWhileCold()));
            return;
        }
        handleWork(exchange);
    }

    @Override
    public final synchronized void restart(long downMillis) {
        long now = timers.now();
        long duration = downMillis < 0 ? options.restartMillis() : downMillis;
        downUntil = now + duration;
        startedAt = Math.max(downUntil, startedAt + 1);
        List<J> interrupted = slots.restart();
        clearState();
        report();
        for (J job : interrupted) {
            job.exchange().fail(name + " has restarted");
        }
    }

    /** Handles a call that is neither a report nor a fault. */
    abstract void handleWork(Exchange exchange);

    /** Starts a job that has been assigned a slot. */
    abstract void start(J job);

    /** Clears the state that does not survive a restart. */
    abstract void clearState();

    /** Adds the fields that are specific to this kind of upstream. */
    LoadReport withDetails(LoadReport common) {
        return common;
    }

    /** Accepts a job if there is capacity, and rejects the call otherwise. Returns whether the job was accepted. */
    final boolean offer(J job) {
        Optional<Integer> priority = priority(job.exchange());
        if (priority.isEmpty()) {
            job.exchange().refuse(400, PRIORITY + ": expected a whole number from 0 to 9");
            return false;
        }
        switch (slots.offer(job, priority.get())) {
            case RUNS -> start(job);
            case WAITS -> LOGGER.log(System.Logger.Level.DEBUG, "{0}: request queued", name);
            case FULL -> {
                tally.refused();
                job.exchange().refuse(429, name + " is overloaded");
                return false;
            }
            case TOO_MUCH_WHILE_COLD -> {
                crash(job);
                return false;
            }
            default -> throw new IllegalStateException("unknown outcome");
        }
        tally.taken(timers.now());
        return true;
    }

    /** Counts a completed job and assigns its slot to the next queued job. */
    final void finish(J job) {
        tally.executed(job.ids().request());
        slots.finish(job).ifPresent(this::start);
    }

    /** Removes a job whose caller no longer waits for it. */
    final synchronized void cancel(J job) {
        if (!slots.all().contains(job)) {
            return;
        }
        tally.cancelled();
        slots.remove(job).ifPresent(this::start);
    }

    /** Counts a prefix cache hit or miss. */
    final void recordPrefixLookup(boolean cached) {
        tally.prefix(cached);
    }

    final boolean isRunning(J job) {
        return slots.isRunning(job);
    }

    final SlotPool<J> slots() {
        return slots;
    }

    final Timers timers() {
        return timers;
    }

    private void crash(J job) {
        List<String> accepted =
                slots.all().stream().map(each -> each.ids().attempt()).toList();
        LOGGER.log(
                System.Logger.Level.INFO,
                "{0}: crashes, overloaded while cold by attempt {1}; attempts accepted before: {2}",
                name,
                job.ids().attempt(),
                accepted);
        tally.fellOver();
        restart(options.restartMillis());
        job.exchange().fail(name + " has crashed: overloaded while cold");
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
