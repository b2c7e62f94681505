package org.wagtaillug.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.standin.http.ActiveFaults;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.LogOptions;

/**
 * The log service. It holds streams of records with offsets that start at 1. A record is appended when its call arrives; the
 * answer follows after {@code append-millis}. Records survive a restart.
 */
public final class LogService implements StandIn {
    private static final int MAX_RECORD_BYTES = 262_144;
    private static final int DEFAULT_LIMIT = 500;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long SECOND_MILLIS = 1_000;

    private record Appended(long offset, long time) {}

    private record Read(long oldest, long end, List<RecordStream.Entry> records) {}

    private record ReadRequest(long from, int limit, long waitMillis) {}

    private static final class Reader {
        private final Exchange exchange;
        private final String stream;
        private final ReadRequest readRequest;

        private Reader(Exchange exchange, String stream, ReadRequest readRequest) {
            this.exchange = exchange;
            this.stream = stream;
            this.readRequest = readRequest;
        }
    }

    private final String name;
    private final LogOptions options;
    private final Timers timers;
    private final ActiveFaults faults = new ActiveFaults();
    private final Map<String, RecordStream> streams = new HashMap<>();
    private final List<Reader> readers = new ArrayList<>();
    private double tokens;
    private long refilledAt;

    /** Creates an empty log. */
    public LogService(String name, LogOptions options, Timers timers) {
        this.name = name;
        this.options = options;
        this.timers = timers;
        this.tokens = options.appendsPerSecond();
        this.refilledAt = timers.now();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String kind() {
        return "log";
    }

    @Override
    public ActiveFaults faults() {
        return faults;
    }

    /** Only appends are subject to answer faults, so that the continuous reads do not use up a fault. */
    @Override
    public boolean allowsAnswerFaults(Exchange exchange) {
        return exchange.method().equals("POST");
    }

    @Override
    public synchronized void handle(Exchange exchange) {
        List<String> path = exchange.segments();
        boolean knownPath =
                path.size() == 3 && path.get(0).equals("streams") && path.get(2).equals("records");
        if (knownPath && exchange.method().equals("POST")) {
            append(exchange, path.get(1));
            return;
        }
        if (knownPath && exchange.method().equals("GET")) {
            read(exchange, path.get(1));
            return;
        }
        exchange.refuse(
                404, exchange.method() + " " + exchange.path() + ": expected GET or POST /streams/{stream}/records");
    }

    @Override
    public synchronized void restart(long downMillis) {
        for (Reader reader : readers) {
            reader.exchange.fail(name + " has restarted");
        }
        readers.clear();
    }

    private void append(Exchange exchange, String stream) {
        if (exchange.body().length > MAX_RECORD_BYTES) {
            exchange.refuse(
                    413, "record: found " + exchange.body().length + " bytes, expected at most " + MAX_RECORD_BYTES);
            return;
        }
        long now = timers.now();
        if (!takeToken(now)) {
            exchange.refuse(429, "expected at most " + options.appendsPerSecond() + " appends a second");
            return;
        }
        RecordStream records = streams.computeIfAbsent(stream, unused -> new RecordStream(options.retentionMillis()));
        Appended appended = new Appended(records.append(exchange.body(), now), now);
        timers.after(faults.scaled(options.appendMillis()), () -> exchange.answer(200, appended));
        notifyReaders(stream, now);
    }

    /** Takes a token from a bucket whose capacity is the number of appends allowed per second. */
    private boolean takeToken(long now) {
        double refill = (now - refilledAt) * (double) options.appendsPerSecond() / SECOND_MILLIS;
        tokens = Math.min(options.appendsPerSecond(), tokens + refill);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void read(Exchange exchange, String stream) {
        ReadRequest readRequest;
        try {
            readRequest = readRequest(exchange);
        } catch (NumberFormatException malformed) {
            exchange.refuse(400, "from, limit, wait: expected whole numbers: " + malformed.getMessage());
            return;
        }
        Reader reader = new Reader(exchange, stream, readRequest);
        long now = timers.now();
        RecordStream records = streams.get(stream);
        boolean nothingNew = records == null || records.end() <= readRequest.from();
        if (nothingNew && readRequest.waitMillis() > 0) {
            readers.add(reader);
            exchange.onClosed(() -> removeReader(reader));
            timers.after(readRequest.waitMillis(), () -> expire(reader));
            return;
        }
        answer(reader, now);
    }

    private static ReadRequest readRequest(Exchange exchange) {
        return new ReadRequest(
                Math.max(1, Long.parseLong(exchange.query("from").orElse("1"))),
                Math.max(1, Integer.parseInt(exchange.query("limit").orElse("" + DEFAULT_LIMIT))),
                Math.min(MAX_WAIT_MILLIS, Long.parseLong(exchange.query("wait").orElse("0"))));
    }

    private void notifyReaders(String stream, long now) {
        RecordStream records = streams.get(stream);
        List<Reader> ready = new ArrayList<>();
        for (Reader reader : readers) {
            if (reader.stream.equals(stream) && reader.readRequest.from() < records.end()) {
                ready.add(reader);
            }
        }
        readers.removeAll(ready);
        for (Reader reader : ready) {
            answer(reader, now);
        }
    }

    private synchronized void expire(Reader reader) {
        if (readers.remove(reader)) {
            answer(reader, timers.now());
        }
    }

    private synchronized void removeReader(Reader reader) {
        readers.remove(reader);
    }

    private void answer(Reader reader, long now) {
        RecordStream records = streams.get(reader.stream);
        Read answer = new Read(1, 1, List.of());
        if (records != null) {
            records.dropExpired(now);
            answer = new Read(
                    records.oldest(),
                    records.end(),
                    records.read(reader.readRequest.from(), reader.readRequest.limit()));
        }
        Read page = answer;
        long extraMillis = faults.scaled(options.appendMillis()) - options.appendMillis();
        if (extraMillis <= 0) {
            reader.exchange.answer(200, page);
            return;
        }
        timers.after(extraMillis, () -> reader.exchange.answer(200, page));
    }
}
