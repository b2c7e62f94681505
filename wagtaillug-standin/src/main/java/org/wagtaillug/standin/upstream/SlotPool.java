package org.wagtaillug.standin.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The slots of one upstream: the running and queued jobs, and whether the upstream is still cold. Only keeps track of the
 * jobs; the caller starts and stops them. Not thread-safe.
 *
 * @param <J> the type of job
 */
final class SlotPool<J> {
    /** The result of offering a job. */
    enum Outcome {
        /** The job occupies a slot and runs. */
        RUNS,
        /** The job is queued for a slot. */
        WAITS,
        /** The queue is full; the job was not accepted. */
        FULL,
        /** The job exceeds the limit of a cold upstream and makes it crash. */
        TOO_MUCH_WHILE_COLD
    }

    private record Waiting<J>(J job, int priority, long sequence) {}

    private final int slots;
    private final int queue;
    private final int coldLimit;
    private final int warmAfter;
    private final Set<J> running = new LinkedHashSet<>();
    private final PriorityQueue<Waiting<J>> waiting = new PriorityQueue<>(
            Comparator.comparingInt((Waiting<J> entry) -> -entry.priority()).thenComparingLong(Waiting::sequence));
    private long sequence;
    private long finishedSinceStart;
    private int peakWhileCold;

    SlotPool(int slots, int queue, int coldLimit, int warmAfter) {
        this.slots = slots;
        this.queue = queue;
        this.coldLimit = coldLimit;
        this.warmAfter = warmAfter;
    }

    Outcome offer(J job, int priority) {
        if (isCold()) {
            peakWhileCold = Math.max(peakWhileCold, running.size() + waiting.size() + 1);
            if (running.size() + waiting.size() >= coldLimit) {
                return Outcome.TOO_MUCH_WHILE_COLD;
            }
        }
        if (running.size() < slots) {
            running.add(job);
            return Outcome.RUNS;
        }
        if (waiting.size() >= queue) {
            return Outcome.FULL;
        }
        waiting.add(new Waiting<>(job, priority, sequence++));
        return Outcome.WAITS;
    }

    /** Removes a finished job and returns the queued job that takes its slot. */
    Optional<J> finish(J job) {
        if (!running.remove(job)) {
            return Optional.empty();
        }
        finishedSinceStart++;
        return startNext();
    }

    /** Removes a running or queued job and returns the queued job that takes its slot. */
    Optional<J> remove(J job) {
        if (waiting.removeIf(entry -> entry.job().equals(job))) {
            return Optional.empty();
        }
        if (!running.remove(job)) {
            return Optional.empty();
        }
        return startNext();
    }

    /** Removes all jobs and makes the upstream cold; returns the removed jobs. */
    List<J> restart() {
        List<J> all = new ArrayList<>(running);
        for (Waiting<J> entry : waiting) {
            all.add(entry.job());
        }
        running.clear();
        waiting.clear();
        finishedSinceStart = 0;
        return all;
    }

    boolean isRunning(J job) {
        return running.contains(job);
    }

    List<J> all() {
        List<J> all = new ArrayList<>(running);
        for (Waiting<J> entry : waiting) {
            all.add(entry.job());
        }
        return all;
    }

    List<J> running() {
        return new ArrayList<>(running);
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    int peakWhileCold() {
        return peakWhileCold;
    }

    private boolean isCold() {
        return coldLimit > 0 && finishedSinceStart < warmAfter;
    }

    private Optional<J> startNext() {
        Waiting<J> first = waiting.poll();
        if (first == null) {
            return Optional.empty();
        }
        running.add(first.job());
        return Optional.of(first.job());
    }
}
