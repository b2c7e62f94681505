package org.wagtaillug.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.wagtaillug.standin.http.ActiveFaults;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Hashing;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.WeightsOptions;

/**
 * The weight store. It streams pseudo-random bytes that depend on model and version only; all transfers share one bandwidth
 * limit.
 */
public final class WeightStore implements StandIn {
    private static final long TICK_MILLIS = 20;
    private static final long SECOND_MILLIS = 1_000;
    private static final int MAX_PART_BYTES = 1_048_576;
    private static final int MAX_PENDING_PARTS = 4;

    private static final class Transfer {
        private final Exchange exchange;
        private final SplittableRandom random;
        private long remaining;

        private Transfer(Exchange exchange, SplittableRandom random, long remaining) {
            this.exchange = exchange;
            this.random = random;
            this.remaining = remaining;
        }
    }

    private final String name;
    private final WeightsOptions options;
    private final Timers timers;
    private final ActiveFaults faults = new ActiveFaults();
    private final List<Transfer> transfers = new ArrayList<>();
    private double budget;
    private long budgetAt;

    /** Creates a store that serves every model and version. */
    public WeightStore(String name, WeightsOptions options, Timers timers) {
        this.name = name;
        this.options = options;
        this.timers = timers;
        this.budgetAt = timers.now();
        timers.every(TICK_MILLIS, this::tick);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String kind() {
        return "weights";
    }

    @Override
    public ActiveFaults faults() {
        return faults;
    }

    @Override
    public boolean allowsAnswerFaults(Exchange exchange) {
        return true;
    }

    @Override
    public synchronized void handle(Exchange exchange) {
        List<String> path = exchange.segments();
        boolean knownPath = path.size() == 3 && path.get(0).equals("weights");
        if (!knownPath || !exchange.method().equals("GET")) {
            exchange.refuse(
                    404, exchange.method() + " " + exchange.path() + ": expected GET /weights/{model}/{version}");
            return;
        }
        long seed = Hashing.number(path.get(1) + "/" + path.get(2));
        Transfer transfer = new Transfer(exchange, new SplittableRandom(seed), options.sizeBytes());
        exchange.openStream("application/octet-stream", options.sizeBytes(), expectedParts());
        exchange.onClosed(() -> removeTransfer(transfer));
        transfers.add(transfer);
    }

    @Override
    public synchronized void restart(long downMillis) {
        for (Transfer transfer : transfers) {
            transfer.exchange.abort();
        }
        transfers.clear();
    }

    private int expectedParts() {
        long bytesPerPart = Math.max(1, options.bytesPerSecond() * TICK_MILLIS / SECOND_MILLIS);
        return (int) Math.min(Integer.MAX_VALUE, options.sizeBytes() / bytesPerPart);
    }

    private synchronized void removeTransfer(Transfer transfer) {
        transfers.remove(transfer);
    }

    private synchronized void tick() {
        long now = timers.now();
        double rate = options.bytesPerSecond() / (double) Math.max(1, faults.scaled(SECOND_MILLIS));
        budget = Math.min(options.bytesPerSecond(), budget + (now - budgetAt) * rate);
        budgetAt = now;
        if (transfers.isEmpty()) {
            budget = 0;
            return;
        }
        long share = (long) (budget / transfers.size());
        if (share == 0) {
            return;
        }
        for (Transfer transfer : List.copyOf(transfers)) {
            budget -= send(transfer, share);
        }
    }

    private long send(Transfer transfer, long share) {
        if (transfer.exchange.pendingParts() >= MAX_PENDING_PARTS) {
            return 0;
        }
        int length = (int) Math.min(transfer.remaining, Math.min(share, MAX_PART_BYTES));
        byte[] part = new byte[length];
        transfer.random.nextBytes(part);
        transfer.remaining -= length;
        if (transfer.remaining > 0) {
            transfer.exchange.write(part);
            return length;
        }
        transfers.remove(transfer);
        transfer.exchange.end(part);
        return length;
    }
}
