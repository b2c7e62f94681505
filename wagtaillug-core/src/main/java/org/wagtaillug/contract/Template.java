package org.wagtaillug.contract;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.id.TemplateId;

/**
 * A pipeline as the operators described it: its stages in their order, under one deadline.
 *
 * <pre>{@code
 * Template draft = Template.builder("menu-draft").stage(encode).stage(retrieve).stage(generate).build();
 * }</pre>
 *
 * @param id unique in the firm
 * @param stages in the order of their work; a plain call has one, a pipeline three to six
 * @param deadline the most time a request may take where the caller and the customer set none; default 10 s
 * @param idempotent whether running it twice does no harm; default true
 * @param worth what one request served in time is worth where the customer sets nothing; default 1
 */
public record Template(TemplateId id, List<Stage> stages, Duration deadline, boolean idempotent, double worth)
        implements Body {
    /** Takes its own copy of the stages. */
    public Template {
        stages = List.copyOf(stages);
    }

    /** Starts a template with the defaults above and no stage. */
    public static Builder builder(String id) {
        return new Builder(new TemplateId(id));
    }

    /** Collects the parts of a {@link Template}. */
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
        public Builder deadline(Duration most) {
            this.deadline = most;
            return this;
        }

        /** Sets whether a second run does no harm. */
        public Builder idempotent(boolean harmless) {
            this.idempotent = harmless;
            return this;
        }

        /** Sets the worth of one request served in time. */
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
