package org.wagtaillug.daemon.callers;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;
import org.eclipse.jetty.http.HttpFields;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

/** Validates the headers and the body of a caller's request and builds a {@link Request}. */
final class RequestReader {
    /** The header that names the customer. */
    static final String CUSTOMER = "Wagtaillug-Customer";

    /** The header with the request id that the caller has chosen. */
    static final String REQUEST = "Wagtaillug-Request";

    /** The header with the time until the deadline, in milliseconds. */
    static final String DEADLINE = "Wagtaillug-Deadline-Millis";

    /** The header with the idempotency key, a UUID of version 7. */
    static final String KEY = "Idempotency-Key";

    private static final int KEY_UUID_VERSION = 7;
    private static final int UUID_TIMESTAMP_SHIFT = 16;
    private static final long MAX_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();
    private static final ObjectMapper STRICT = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private RequestReader() {}

    /**
     * A parsed request.
     *
     * @param request the request
     * @param body its body, for prompts and streaming
     */
    record ParsedRequest(Request request, JsonNode body) {}

    static Either<Refusal, ParsedRequest> read(String template, HttpFields headers, byte[] bytes, Instant now) {
        return Try.of(() -> parse(template, headers, bytes, now)).toEither().mapLeft(RequestReader::malformed);
    }

    private static Refusal malformed(Throwable fault) {
        String message = fault instanceof IllegalArgumentException
                ? fault.getMessage()
                : "the body is not JSON: " + fault.getMessage();
        return Refusal.notRun(ResultCode.MALFORMED, Duration.ZERO, message);
    }

    private static ParsedRequest parse(String template, HttpFields headers, byte[] bytes, Instant now)
            throws Exception {
        JsonNode body = STRICT.readTree(bytes);
        validate(body);
        String customer = headers.get(CUSTOMER);
        if (customer == null) {
            throw new IllegalArgumentException("header " + CUSTOMER + " is missing; expected a customer's name");
        }
        String id = Optional.ofNullable(headers.get(REQUEST))
                .orElseGet(() -> UUID.randomUUID().toString());
        CustomerId customerId = new CustomerId(customer);
        byte[] input = Json.write(body.get("input"));
        Request.Builder request = Request.builder(new RequestId(id), customerId, new TemplateId(template))
                .body(Payload.wrap(input))
                .bodyDigest(digest(template, input))
                .prefix(body.path("prefix").asText(""));
        String deadline = headers.get(DEADLINE);
        if (deadline != null) {
            request.deadline(now.plusMillis(deadlineMillis(deadline)));
        }
        String key = headers.get(KEY);
        if (key != null) {
            request.key(new IdempotencyKey(customerId, key, issuedAt(key)));
        }
        return new ParsedRequest(request.build(), body);
    }

    private static void validate(JsonNode body) {
        if (!body.isObject()) {
            throw new IllegalArgumentException(
                    "the body is " + body.getNodeType() + "; expected an object with \"input\"");
        }
        if (!body.has("input")) {
            throw new IllegalArgumentException("the body has no \"input\"; expected any JSON value there");
        }
        JsonNode tokens = body.path("max_tokens");
        if (!tokens.isMissingNode() && (!tokens.canConvertToInt() || tokens.intValue() < 1)) {
            throw new IllegalArgumentException("max_tokens is " + tokens + "; expected a whole number from 1");
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw new IllegalArgumentException("stream is " + stream + "; expected true or false");
        }
        JsonNode prefix = body.path("prefix");
        if (!prefix.isMissingNode() && !prefix.isTextual()) {
            throw new IllegalArgumentException("prefix is " + prefix + "; expected a text");
        }
    }

    private static long deadlineMillis(String text) {
        long millis = Try.of(() -> Long.parseLong(text))
                .getOrElseThrow(() -> new IllegalArgumentException(
                        "header " + DEADLINE + " is \"" + text + "\"; expected milliseconds as a whole number"));
        return Math.min(millis, MAX_DEADLINE_MILLIS);
    }

    /**
     * The creation time that is encoded in the key. Without it, it would be unknown whether the record of the key's
     * execution is already past the retention of the log.
     */
    private static Instant issuedAt(String key) {
        UUID uuid = Try.of(() -> UUID.fromString(key)).getOrElseThrow(() -> invalidKey(key));
        if (uuid.version() != KEY_UUID_VERSION) {
            throw invalidKey(key);
        }
        return Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> UUID_TIMESTAMP_SHIFT);
    }

    private static IllegalArgumentException invalidKey(String key) {
        return new IllegalArgumentException("header " + KEY + " is \"" + key
                + "\"; expected a UUID of version 7, for example 0193f1b2-7c00-7abc-8def-0123456789ab");
    }

    private static String digest(String template, byte[] input) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(template.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            byte[] hash = digest.digest(input);
            return HexFormat.of().formatHex(hash, 0, 16);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every JDK has SHA-256", impossible);
        }
    }
}
