package org.wagtaillug.dispatch;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.result.Payload;

/**
 * A caller's request as it came in.
 *
 * @param id unique on the node while the request is in flight
 * @param customer on whose behalf
 * @param template which pipeline
 * @param deadline the caller's own; empty to take the customer's or the template's
 * @param key the idempotency key; empty if none came
 * @param bodyDigest of template and body
 * @param body the body, for the stages
 * @param prefix names the start of the prompt that is shared with other requests, for engines that cache prefixes; empty
 *     if it is not known
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
    /** Starts a request without deadline, key, digest, body or prefix. */
    public static Builder builder(RequestId id, CustomerId customer, TemplateId template) {
        return new Builder(id, customer, template);
    }

    /** Collects the parts of a {@link Request}. */
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

        /** Sets the name of the prompt's shared start. */
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
