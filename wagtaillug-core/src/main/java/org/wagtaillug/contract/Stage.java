package org.wagtaillug.contract;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.StageId;

/**
 * One step of a template.
 *
 * <pre>{@code
 * Stage rerank = Stage.builder("rerank").pool("rerank").work(StageWork.TRANSFORM).build();
 * }</pre>
 *
 * @param id unique within the template
 * @param pool the pool whose upstreams do it
 * @param work how they are called
 * @param operation the path segment of the call: the stage's or the service's operation; default the stage's id
 * @param model the model to generate with; only for {@link StageWork#GENERATE}
 * @param attempts the most attempts, hedges included, 1 to 5; default 3
 * @param hedge whether a straggling attempt may get a rival on another upstream; default true
 * @param timeout the most time one attempt may take; default 10 s
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
    /** Starts a stage with the defaults above; the pool's name defaults to the stage's. */
    public static Builder builder(String id) {
        return new Builder(new StageId(id));
    }

    /** Collects the parts of a {@link Stage}. */
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

        /** Sets the path segment of the call. */
        public Builder operation(String name) {
            this.operation = Objects.requireNonNull(name);
            return this;
        }

        /** Sets the model. */
        public Builder model(String name) {
            this.model = Optional.of(new ModelId(name));
            return this;
        }

        /** Sets the most attempts. */
        public Builder attempts(int most) {
            this.attempts = most;
            return this;
        }

        /** Sets whether hedging is allowed. */
        public Builder hedge(boolean allowed) {
            this.hedge = allowed;
            return this;
        }

        /** Sets the most time of one attempt. */
        public Builder timeout(Duration most) {
            this.timeout = Objects.requireNonNull(most);
            return this;
        }

        /** Builds the stage. */
        public Stage build() {
            return new Stage(id, pool, work, operation, model, attempts, hedge, timeout);
        }
    }
}
