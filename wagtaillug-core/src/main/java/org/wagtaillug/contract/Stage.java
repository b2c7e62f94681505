package org.wagtaillug.contract;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.StageId;

/**
 * One stage of a template.
 *
 * <pre>{@code
 * Stage rerank = Stage.builder("rerank").pool("rerank").work(StageWork.TRANSFORM).build();
 * }</pre>
 *
 * @param id unique within the template
 * @param pool the pool of upstreams that execute the stage
 * @param work how the upstreams are called
 * @param operation the operation that is called, as a path segment; default the stage's id
 * @param model the model that generates; only for {@link StageWork#GENERATE}
 * @param attempts the maximum number of attempts, including hedged ones, 1 to 5; default 3
 * @param hedge whether a slow attempt may be hedged on another upstream; default true
 * @param timeout the maximum duration of an attempt; default 10 s
 */
public record Stage(
        StageId id,
        PoolId pool,
        StageWork work,
        String operation,
        Optional<ModelId> model,
        int attempts,
        boolean hedge,
        Duration timeout) {
    /** Creates a builder with the defaults above; the pool's name defaults to that of the stage. */
    public static Builder builder(String id) {
        return new Builder(new StageId(id));
    }

    /** Builds a {@link Stage}. */
    public static final class Builder {
        private final StageId id;
        private PoolId pool;
        private StageWork work = StageWork.TRANSFORM;
        private String operation;
        private Optional<ModelId> model = Optional.empty();
        private int attempts = 3;
        private boolean hedge = true;
        private Duration timeout = Duration.ofSeconds(10);

        private Builder(StageId id) {
            this.id = id;
            this.pool = new PoolId(id.value());
            this.operation = id.value();
        }

        /** Sets the pool. */
        public Builder pool(String name) {
            this.pool = new PoolId(name);
            return this;
        }

        /** Sets how the upstreams are called. */
        public Builder work(StageWork kind) {
            this.work = Objects.requireNonNull(kind);
            return this;
        }

        /** Sets the operation that is called. */
        public Builder operation(String name) {
            this.operation = Objects.requireNonNull(name);
            return this;
        }

        /** Sets the model. */
        public Builder model(String name) {
            this.model = Optional.of(new ModelId(name));
            return this;
        }

        /** Sets the maximum number of attempts. */
        public Builder attempts(int maximum) {
            this.attempts = maximum;
            return this;
        }

        /** Sets whether hedging is allowed. */
        public Builder hedge(boolean allowed) {
            this.hedge = allowed;
            return this;
        }

        /** Sets the maximum duration of an attempt. */
        public Builder timeout(Duration maximum) {
            this.timeout = Objects.requireNonNull(maximum);
            return this;
        }

        /** Builds the stage. */
        public Stage build() {
            return new Stage(id, pool, work, operation, model, attempts, hedge, timeout);
        }
    }
}
