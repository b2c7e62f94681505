package org.wagtaillug.contract;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.id.TemplateId;

/**
 * A pipeline as defined by operators: its stages in order, with a common deadline.
 *
 * <pre>{@code
 * Template draft = Template.builder("menu-draft").stage(encode).stage(retrieve).stage(generate).build();
 * }</pre>
 *
 * @param id unique in the whole configuration
 * @param stages in order of execution; a single call has one stage, a pipeline three to six
 * @param deadline the maximum duration of a request if neither the caller nor the customer sets one; default 10 s
 * @param idempotent whether it is safe to run a request more than once; default true
 * @param worth the value of serving one request in time, if the customer sets none; default 1
 */
public record Template(TemplateId id, List<Stage> stages, Duration deadline, boolean idempotent, double worth)
        implements Body {
    /** Makes a defensive copy of the stages. */
    public Template {
        stages = List.copyOf(stages);
    }

    /** Creates a builder with the defaults above and no stages. */
    public static Builder builder(String id) {
        return new Builder(new TemplateId(id));
    }

    /** Builds a {@link Template}. */
    public static final class Builder {
        private final TemplateId id;
        private final List<Stage> stages = new ArrayList<>();
        private Duration deadline = Duration.ofSeconds(10);
        private boolean idempotent = true;
        private double worth = 1.0;

        private Builder(TemplateId id) {
            this.id = id;
        }

        /** Adds the next stage. */
        public Builder stage(Stage stage) {
            stages.add(stage);
            return this;
        }

        /** Sets the deadline. */
        public Builder deadline(Duration maximum) {
            this.deadline = maximum;
            return this;
        }

        /** Sets whether it is safe to run a request more than once. */
        public Builder idempotent(boolean value) {
            this.idempotent = value;
            return this;
        }

        /** Sets the worth of a request that is served in time. */
        public Builder worth(double value) {
            this.worth = value;
            return this;
        }

        /** Builds the template. */
        public Template build() {
            return new Template(id, stages, deadline, idempotent, worth);
        }
    }
}
