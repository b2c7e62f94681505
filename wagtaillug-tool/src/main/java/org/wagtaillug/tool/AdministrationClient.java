package org.wagtaillug.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Calls of the administration interface, see docs/API.md. */
final class AdministrationClient implements AutoCloseable {
    static final int OK = 200;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int LONGEST_ANSWER = 64 * 1024 * 1024;

    private final List<String> nodes;
    private final String token;
    private final HttpClient client;

    private AdministrationClient(List<String> nodes, String token, HttpClient client) {
        this.nodes = List.copyOf(nodes);
        this.token = token;
        this.client = client;
    }

    /** How one call of one node ended. */
    sealed interface Exchange {
        /**
         * The node answered.
         *
         * @param status the HTTP status
         * @param body its JSON; a missing node where it sent none
         */
        record Answered(int status, JsonNode body) implements Exchange {}

        /**
         * No byte of the call left this machine: it had no effect.
         *
         * @param reason why
         */
        record NotReached(String reason) implements Exchange {}

        /**
         * The call was begun and no answer came: it may have had its effect.
         *
         * @param reason why
         */
        record Lost(String reason) implements Exchange {}
    }

    /**
     * Starts a client.
     *
     * @param nodes base URLs, tried in this order
     * @param token shown with each call
     * @param trust a PEM file of certificates to trust in place of the system's
     */
    static Either<ToolFailure, AdministrationClient> start(List<String> nodes, String token, Optional<Path> trust) {
        ClientConnector connector = new ClientConnector();
        SslContextFactory.Client tls = new SslContextFactory.Client();
        try {
            if (trust.isPresent()) {
                tls.setTrustStore(certificates(trust.get()));
            }
        } catch (IOException | GeneralSecurityException fault) {
            return Either.left(CommandLine.usage("--trust: found " + trust.get() + ", which cannot be read (" + fault
                    + "); expected a PEM file of certificates"));
        }
        connector.setSslContextFactory(tls);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        try {
            client.start();
        } catch (Exception fault) {
            throw new IllegalStateException("the HTTP client does not start", fault);
        }
        return Either.right(new AdministrationClient(nodes, token, client));
    }

    private static KeyStore certificates(Path file) throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
        store.load(null, null);
        int count = 0;
        try (var stream = Files.newInputStream(file)) {
            for (Certificate certificate :
                    CertificateFactory.getInstance("X.509").generateCertificates(stream)) {
                count++;
                store.setCertificateEntry("trusted-" + count, certificate);
            }
        }
        if (count == 0) {
            throw new CertificateException("no certificate in it");
        }
        return store;
    }

    List<String> nodes() {
        return nodes;
    }

    /** Reads from the first node that can serve. */
    Either<ToolFailure, JsonNode> get(String path) {
        List<String> reasons = new ArrayList<>();
        for (String node : nodes) {
            switch (get(node, path)) {
                case Exchange.Answered answered -> {
                    if (answered.status() == OK) {
                        return Either.right(answered.body());
                    }
                    Answers.Refusal refusal = Answers.refusal(answered);
                    if (!refusal.anotherNodeMayServe()) {
                        return Either.left(refusal.failure(node));
                    }
                    reasons.add(node + ": " + refusal.message());
                }
                case Exchange.NotReached notReached -> reasons.add(node + ": " + notReached.reason());
                case Exchange.Lost lost -> reasons.add(node + ": " + lost.reason());
            }
        }
        return Either.left(new ToolFailure.Unreachable(reasons));
    }

    /** Reads from one node. */
    Exchange get(String node, String path) {
        return exchange(client.newRequest(URI.create(node + path)).method(HttpMethod.GET));
    }

    /** Sends a JSON object to one node, once. */
    Exchange post(String node, String path, JsonNode body) {
        Request request = client.newRequest(URI.create(node + path)).method(HttpMethod.POST);
        return exchange(request.body(new StringRequestContent("application/json", body.toString())));
    }

    /**
     * Whether a failed call may have had an effect decides whether it may be sent elsewhere. The client tells when it
     * begins to write a request: a failure before that is no more than a connection that did not come about.
     */
    private Exchange exchange(Request request) {
        AtomicBoolean begun = new AtomicBoolean();
        request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + token))
                .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(started -> begun.set(true));
        try {
            ContentResponse response = new CompletableResponseListener(request, LONGEST_ANSWER)
                    .send()
                    .get();
            return new Exchange.Answered(response.getStatus(), json(response.getContentAsString()));
        } catch (ExecutionException fault) {
            return failed(begun.get(), reason(fault.getCause()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return failed(begun.get(), "interrupted");
        }
    }

    private static Exchange failed(boolean begun, String reason) {
        return begun ? new Exchange.Lost(reason) : new Exchange.NotReached(reason);
    }

    private static String reason(Throwable fault) {
        String message = fault.getMessage();
        return message == null || message.isBlank() ? fault.getClass().getSimpleName() : message;
    }

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException fault) {
            return JSON.missingNode();
        }
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception fault) {
            throw new IllegalStateException("the HTTP client does not stop", fault);
        }
    }
}
