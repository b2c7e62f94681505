package org.wagtaillug.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.LogRecordCodec;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;

/** Carries out the effects that concern the platform and reports its answers as events. */
public final class PlatformClient {
    private static final int READ_LIMIT = 500;
    private static final int READ_WAIT_MILLIS = 500;
    private static final int LOG_TIMEOUT_MILLIS = 2000;
    private static final int LOAD_TIMEOUT_MILLIS = 500;
    private static final int ORDER_TIMEOUT_MILLIS = 2000;
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int OK = 200;

    private final HttpClient client;
    private final URI log;
    private final URI vms;
    private final LeaseClock clock;
    private final Consumer<Event> events;
    private final Executor traffic;
    private final LogRecordCodec codec = new LogRecordCodec();

    /**
     * Creates a client of the platform.
     *
     * @param client an HTTP client that does not retry
     * @param log the address of the log service
     * @param vms the address of the VM list
     * @param clock supplies the sending time of reads
     * @param events receives the answers
     * @param traffic creates and sends the requests, so that the control thread does not
     */
    public PlatformClient(
            HttpClient client, URI log, URI vms, LeaseClock clock, Consumer<Event> events, Executor traffic) {
        this.client = client;
        this.log = log;
        this.vms = vms;
        this.clock = clock;
        this.events = events;
        this.traffic = traffic;
    }

    /**
     * Reads a stream; at its tail the log service delays its answer until a record arrives or a short time has passed.
     */
    public void readLog(Effect.ReadLog read) {
        Instant sentAt = clock.now();
        Request request = client.newRequest(log)
                .path("/streams/" + read.stream().text() + "/records")
                .param("from", Long.toString(read.from()))
                .param("limit", Integer.toString(READ_LIMIT))
                .param("wait", Integer.toString(READ_WAIT_MILLIS));
        send(request, LOG_TIMEOUT_MILLIS, (status, body) -> {
            if (status != OK) {
                events.accept(new Event.LogReadFailed(read.stream()));
                return;
            }
            events.accept(new Event.LogRead(read.stream(), sentAt, batch(read.from(), body)));
        });
    }

    private LogBatch batch(long from, JsonNode body) {
        List<LogBatch.Entry> entries = new ArrayList<>();
        for (JsonNode record : body.path("records")) {
            byte[] data = Base64.getDecoder().decode(record.path("data").asText());
            Instant time = Instant.ofEpochMilli(record.path("time").asLong());
            entries.add(new LogBatch.Entry(record.path("offset").asLong(), time, codec.decode(data)));
        }
        return new LogBatch(from, body.path("oldest").asLong(), body.path("end").asLong(), entries);
    }

    /** Appends a record without a retry. If the answer is lost, it is unknown whether the record was appended. */
    public void append(Effect.AppendToLog append) {
        byte[] bytes = codec.encode(append.record());
        Request request = client.newRequest(log)
                .method(HttpMethod.POST)
                .path("/streams/" + append.stream().text() + "/records")
                .body(new BytesRequestContent("application/octet-stream", bytes));
        SendState state = new SendState();
        request.onRequestBegin(ignored -> state.started = true);
        send(request, LOG_TIMEOUT_MILLIS, (status, body) -> {
            if (status == OK) {
                events.accept(new Event.LogAppended(
                        append.append(), body.path("offset").asLong()));
                return;
            }
            boolean refused = status >= 400;
            events.accept(new Event.LogAppendFailed(append.append(), state.started && !refused));
        });
    }

    /** Records whether sending a request has started. */
    private static final class SendState {
        private volatile boolean started;
    }

    /** Reads the list of VMs; a failed read is not reported, and the known list stays in use. */
    public void readVmList() {
        send(client.newRequest(vms).path("/vms"), LOG_TIMEOUT_MILLIS, (status, body) -> {
            if (status == OK) {
                events.accept(new Event.VmListRead(vms(body)));
            }
        });
    }

    private static List<Vm> vms(JsonNode body) {
        List<Vm> list = new ArrayList<>();
        for (JsonNode vm : body.path("vms")) {
            boolean upstream = vm.path("kind").asText().equals("upstream");
            list.add(new Vm(
                    new VmId(vm.path("vm").asText()),
                    upstream ? Optional.of(new PoolId(vm.path("pool").asText())) : Optional.empty(),
                    new DomainId(vm.path("domain").asText()),
                    new RegionId(vm.path("region").asText()),
                    vm.path("address").asText(),
                    vm.path("port").asInt(),
                    vm.path("state").asText().equals("leaving")));
        }
        return list;
    }

    /** Requests the load of an upstream. */
    public void requestLoad(Vm upstream) {
        Request request = client.newRequest(upstream.host(), upstream.port()).path("/load");
        send(request, LOAD_TIMEOUT_MILLIS, (status, body) -> {
            if (status != OK) {
                events.accept(new Event.LoadRequestFailed(upstream.id()));
                return;
            }
            events.accept(new Event.LoadReported(upstream.id(), report(body)));
        });
    }

    private static LoadReport report(JsonNode body) {
        String model = body.path("model").asText("");
        return new LoadReport(
                Instant.ofEpochMilli(body.path("started_at").asLong()),
                Instant.ofEpochMilli(body.path("reported_at").asLong()),
                body.path("running").asInt(),
                body.path("waiting").asInt(),
                body.path("slots").asInt(1),
                model.isEmpty() ? Optional.empty() : Optional.of(new ModelId(model)),
                body.path("version").asInt(),
                body.path("fencing_number").asLong());
    }

    /** Sends an order to an engine. */
    public void sendOrder(Vm upstream, Effect.SendOrder order) {
        ObjectNode body = Json.object();
        body.put("order", order.load() ? "load" : "unload");
        body.put("model", order.model().value());
        body.put("version", order.version());
        body.put("fencing_number", order.fencingNumber());
        Request request = client.newRequest(upstream.host(), upstream.port())
                .method(HttpMethod.POST)
                .path("/orders")
                .body(new BytesRequestContent("application/json", Json.write(body)));
        send(
                request,
                ORDER_TIMEOUT_MILLIS,
                (status, ignored) -> events.accept(new Event.OrderEnded(upstream.id(), status == OK)));
    }

    /**
     * Sends a request and passes the status and the JSON body to a handler; status 0 stands for a missing answer or one
     * that is not JSON.
     */
    private void send(Request request, int timeoutMillis, BiConsumer<Integer, JsonNode> handler) {
        traffic.execute(() -> sendNow(request, timeoutMillis, handler));
    }

    private static void sendNow(Request request, int timeoutMillis, BiConsumer<Integer, JsonNode> handler) {
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS).send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    handler.accept(0, Json.object());
                    return;
                }
                byte[] content = getContent();
                JsonNode body =
                        Json.read(content == null ? new byte[0] : content).getOrElse(Json.object());
                handler.accept(result.getResponse().getStatus(), body);
            }
        });
    }
}
