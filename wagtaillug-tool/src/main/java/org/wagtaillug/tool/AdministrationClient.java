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

/** HTTP client for the administration interface of the nodes, see docs/API.md. */
final class AdministrationClient implements AutoCloseable {
    static final int OK = 200;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final List<String> nodes;
    private final String token;
    private final HttpClient client;

    private AdministrationClient(List<String> nodes, String token, HttpClient client) {
        this.nodes = List.copyOf(nodes);
        this.token = token;
        this.client = client;
    }

    /** The result of one call to one node. */
    sealed interface CallResult {
        /**
         * The node responded.
         *
         * @param status the HTTP status
         * @param body the JSON body; a missing node if the response has none
         */
        record Response(int status, JsonNode body) implements CallResult {}

        /**
         * No byte of the request was sent, so the call had no effect.
         *
         * @param reason why the request was not sent
         */
        record NotSent(String reason) implements CallResult {}

        /**
         * The request was started, but no response was received: the call may have taken effect.
         *
         * @param reason why there is no response
         */
        record NoResponse(String reason) implements CallResult {}
    }

    /**
     * Creates and starts a client.
     *
     * @param nodes base URLs, tried in this order
     * @param token the bearer token sent with each call
     * @param trust a PEM file of certificates to trust instead of the system's
     */
    static Either<ToolFailure, AdministrationClient> start(List<String> nodes, String token, Optional<Path> trust) {
        ClientConnector connector = new ClientConnector();
        SslContextFactory.Client tls = new SslContextFactory.Client();
        try {
            if (trust.isPresent()) {
                tls.setTrustStore(loadTrustStore(trust.get()));
            }
        } catch (IOException | GeneralSecurityException exception) {
            return Either.left(CommandLine.usage("--trust: found " + trust.get() + ", which cannot be read ("
                    + exception + "); expected a PEM file of certificates"));
        }
        connector.setSslContextFactory(tls);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        try {
            client.start();
        } catch (Exception exception) {
            throw new IllegalStateException("cannot start the HTTP client", exception);
        }
        return Either.right(new AdministrationClient(nodes, token, client));
    }

    private static KeyStore loadTrustStore(Path file) throws IOException, GeneralSecurityException {
        KeyStore trustStore = KeyStore.getInstance(KeyStore.getDefaultType());
        trustStore.load(null, null);
        int count = 0;
        try (var stream = Files.newInputStream(file)) {
            for (Certificate certificate :
                    CertificateFactory.getInstance("X.509").generateCertificates(stream)) {
                count++;
                trustStore.setCertificateEntry("trusted-" + count, certificate);
            }
        }
        if (count == 0) {
            throw new CertificateException("the file contains no certificate");
        }
        return trustStore;
    }

    List<String> nodes() {
        return nodes;
    }

    /** Reads from the first node that can serve the request. */
    Either<ToolFailure, JsonNode> get(String path) {
        List<String> reasons = new ArrayList<>();
        for (String node : nodes) {
            switch (get(node, path)) {
                case CallResult.Response response -> {
                    if (response.status() == OK) {
                        return Either.right(response.body());
                    }
                    ErrorResponses.Refusal refusal = ErrorResponses.parse(response);
                    if (!refusal.retryableOnOtherNode()) {
                        return Either.left(refusal.failure(node));
                    }
                    reasons.add(node + ": " + refusal.message());
                }
                case CallResult.NotSent notSent -> reasons.add(node + ": " + notSent.reason());
                case CallResult.NoResponse noResponse -> reasons.add(node + ": " + noResponse.reason());
            }
        }
        return Either.left(new ToolFailure.Unreachable(reasons));
    }

    /** Reads from one node. */
    CallResult get(String node, String path) {
        return call(client.newRequest(URI.create(node + path)).method(HttpMethod.GET));
    }

    /** Sends a JSON object to one node, without retries. */
    CallResult post(String node, String path, JsonNode body) {
        Request request = client.newRequest(URI.create(node + path)).method(HttpMethod.POST);
        return call(request.body(new StringRequestContent("application/json", body.toString())));
    }

    /**
     * Distinguishes failures before and after the request was started: a call that may have taken effect must not be sent
     * to another node. The HTTP client reports when it starts to write a request; any earlier failure only means that no
     * connection was established.
     */
    private CallResult call(Request request) {
        AtomicBoolean requestStarted = new AtomicBoolean();
        request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + token))
                .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(ignored -> requestStarted.set(true));
        try {
            ContentResponse response = new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                    .send()
                    .get();
            return new CallResult.Response(response.getStatus(), parseJson(response.getContentAsString()));
        } catch (ExecutionException exception) {
            return failedCall(requestStarted.get(), reason(exception.getCause()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return failedCall(requestStarted.get(), "interrupted");
        }
    }

    private static CallResult failedCall(boolean requestStarted, String reason) {
        return requestStarted ? new CallResult.NoResponse(reason) : new CallResult.NotSent(reason);
    }

    private static String reason(Throwable exception) {
        String message = exception.getMessage();
        return message == null || message.isBlank() ? exception.getClass().getSimpleName() : message;
    }

    private static JsonNode parseJson(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException exception) {
            return JSON.missingNode();
        }
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception exception) {
            throw new IllegalStateException("cannot stop the HTTP client", exception);
        }
    }
}
