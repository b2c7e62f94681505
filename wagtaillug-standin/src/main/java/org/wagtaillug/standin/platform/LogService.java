package org.wagtaillug.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.FaultGate;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.Timers;
import org.wagtaillug.standin.options.LogOptions;

/**
 * The log service: streams of records with offsets that start at 1. A record is appended when its call arrives and the
 * answer follows after {@code append-millis}. Records outlive a restart.
 */
public final class LogService implements StandIn {
    private static final int RECORD_LIMIT_BYTES = 262_144;
    private static final int DEFAULT_LIMIT = 500;
    private static final long WAIT_LIMIT_MILLIS = 60_000;
    private static final long SECOND_MILLIS = 1_000;

    private record Appended(long offset, long time) {}

    private record Read(long oldest, long end, List<RecordStream.Entry> records) {}

    private record Question(long from, int limit, long waitMillis) {}

    private static final class Reader {
        private final Exchange exchange;
        private final String stream;
        private final Question question;

        private Reader(Exchange exchange, String stream, Question question) {
            this.exchange = exchange;
            this.stream = stream;
            this.question = question;
        }
    }

    private final String name;
    private final LogOptions options;
    private final Timers timers;
    private final FaultGate faults = new FaultGate();
    private final Map<String, RecordStream> streams = new HashMap<>();
    private final List<Reader> readers = new ArrayList<>();
    private double allowance;
    private long allowanceAt;

    /** Creates an empty log. */
    public LogService(String name, LogOptions options, Timers timers) {
        this.name = name;
        this.options = options;
        this.timers = timers;
        this.allowance = options.appendsPerSecond();
        this.allowanceAt = timers.now();
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
    public FaultGate faults() {
        return faults;
    }

    /** Only appends take effect: a fault that loses an answer is not used up by the reads that go on all the time. */
    @Override
    public boolean doesWork(Exchange exchange) {
        return exchange.method().equals("POST");
    }

    @Override
    public synchronized void handle(Exchange exchange) {
        List<String> path = exchange.segments();
        boolean known =
                path.size() == 3 && path.get(0).equals("streams") && path.get(2).equals("records");
        if (known && exchange.method().equals("POST")) {
            append(exchange, path.get(1));
            return;
        }
        if (known && exchange.method().equals("GET")) {
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
        if (exchange.body().length > RECORD_LIMIT_BYTES) {
            exchange.refuse(
                    413, "record: found " + exchange.body().length + " bytes, expected at most " + RECORD_LIMIT_BYTES);
            return;
        }
        long now = timers.now();
        if (!takeAllowance(now)) {
            exchange.refuse(429, "expected at most " + options.appendsPerSecond() + " appends a second");
            return;
        }
        RecordStream records = streams.computeIfAbsent(stream, unused -> new RecordStream(options.retentionMillis()));
        Appended appended = new Appended(records.append(exchange.body(), now), now);
        timers.after(faults.scaled(options.appendMillis()), () -> exchange.answer(200, appended));
        wakeReaders(stream, now);
    }

    /** A token bucket that holds one second's worth of appends. */
    private boolean takeAllowance(long now) {
        double earned = (now - allowanceAt) * (double) options.appendsPerSecond() / SECOND_MILLIS;
        allowance = Math.min(options.appendsPerSecond(), allowance + earned);
        allowanceAt = now;
        if (allowance < 1) {
            return false;
        }
        allowance--;
        return true;
    }

    private void read(Exchange exchange, String stream) {
        Question question;
        try {
            question = question(exchange);
        } catch (NumberFormatException malformed) {
            exchange.refuse(400, "from, limit, wait: expected whole numbers: " + malformed.getMessage());
            return;
        }
        Reader reader = new Reader(exchange, stream, question);
        long now = timers.now();
        RecordStream records = streams.get(stream);
        boolean nothingNew = records == null || records.end() <= question.from();
        if (nothingNew && question.waitMillis() > 0) {
            readers.add(reader);
            exchange.onClosed(() -> forget(reader));
            timers.after(question.waitMillis(), () -> giveUp(reader));
            return;
        }
        answer(reader, now);
    }

    private static Question question(Exchange exchange) {
        return new Question(
                Math.max(1, Long.parseLong(exchange.query("from").orElse("1"))),
                Math.max(1, Integer.parseInt(exchange.query("limit").orElse("" + DEFAULT_LIMIT))),
                Math.min(
                        WAIT_LIMIT_MILLIS, Long.parseLong(exchange.query("wait").orElse("0"))));
    }

    private void wakeReaders(String stream, long now) {
        RecordStream records = streams.get(stream);
        List<Reader> woken = new ArrayList<>();
        for (Reader reader : readers) {
            if (reader.stream.equals(stream) && reader.question.from() < records.end()) {
                woken.add(reader);
            }
        }
        readers.removeAll(woken);
        for (Reader reader : woken) {
            answer(reader, now);
        }
    }

    private synchronized void giveUp(Reader reader) {
        if (readers.remove(reader)) {
            answer(reader, timers.now());
        }
    }

    private synchronized void forget(Reader reader) {
        readers.remove(reader);
    }

    private void answer(Reader reader, long now) {
        RecordStream records = streams.get(reader.stream);
        Read answer = new Read(1, 1, List.of());
        if (records != null) {
            records.dropOld(now);
            answer = new Read(
                    records.oldest(), records.end(), records.read(reader.question.from(), reader.question.limit()));
        }
        Read whole = answer;
        long extraMillis = faults.scaled(options.appendMillis()) - options.appendMillis();
        if (extraMillis <= 0) {
            reader.exchange.answer(200, whole);
            return;
        }
        timers.after(extraMillis, () -> reader.exchange.answer(200, whole));
    }
}
