package org.wagtaillug.dispatch;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.result.Payload;

/**
 * A caller's request as received.
 *
 * @param id unique on the node while the request is in flight
 * @param customer the customer who sent it
 * @param template the pipeline to run
 * @param deadline the deadline set by the caller; if empty, that of the customer or the template applies
 * @param key the idempotency key; empty if the caller sent none
 * @param bodyDigest the digest of template and body
 * @param body the input of the first stage
 * @param prefix identifies the prompt prefix that is shared with other requests, for engines that cache prefixes; empty
 *     if unknown
 */
public record Request(
        RequestId id,
        CustomerId customer,
        TemplateId template,
        Optional<Instant> deadline,
        Optional<IdempotencyKey> key,
        String bodyDigest,
        Payload body,
        String prefix) {
    /** Creates a builder of a request without deadline, key, digest, body or prefix. */
    public static Builder builder(RequestId id, CustomerId customer, TemplateId template) {
        return new Builder(id, customer, template);
    }

    /** Builds a {@link Request}. */
    public static final class Builder {
        private final RequestId id;
        private final CustomerId customer;
        private final TemplateId template;
        private Optional<Instant> deadline = Optional.empty();
        private Optional<IdempotencyKey> key = Optional.empty();
        private String bodyDigest = "";
        private Payload body = Payload.EMPTY;
        private String prefix = "";

        private Builder(RequestId id, CustomerId customer, TemplateId template) {
            this.id = id;
            this.customer = customer;
            this.template = template;
        }

        /** Sets the caller's deadline. */
        public Builder deadline(Instant latest) {
            this.deadline = Optional.of(latest);
            return this;
        }

        /** Sets the idempotency key. */
        public Builder key(IdempotencyKey value) {
            this.key = Optional.of(value);
            return this;
        }

        /** Sets the digest of template and body. */
        public Builder bodyDigest(String digest) {
            this.bodyDigest = digest;
            return this;
        }

        /** Sets the body. */
        public Builder body(Payload payload) {
            this.body = payload;
            return this;
        }

        /** Sets the identifier of the shared prompt prefix. */
        public Builder prefix(String name) {
            this.prefix = name;
            return this;
        }

        /** Builds the request. */
        public Request build() {
            return new Request(id, customer, template, deadline, key, bodyDigest, body, prefix);
        }
    }
}
