package org.wagtaillug.notice;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.wagtaillug.load.ServerLoad;

/**
 * What an upstream announces about itself in the headers of an answer.
 *
 * @param rateLimit the requests per second that it accepts from all nodes together; empty if it names no limit
 * @param leaving whether it is about to shut down and should get no new work
 * @param pause how long this node should send it nothing after this refusal; zero if it names no time
 * @param maxRejections the requests per second that each upstream of its pool can reject for lack of room without
 *     failing; empty if the pool is not brittle
 * @param load its load, with the time that work takes on its VM; empty if it does not report that time
 * @param malformedLoad the text of a load report that cannot be read, shortened; empty if there is none
 * @param limitUnreadable whether it names a rate limit that cannot be read, so that an earlier one goes on
 */
public record UpstreamNotice(
        OptionalDouble rateLimit,
        boolean leaving,
        Duration pause,
        OptionalDouble maxRejections,
        Optional<ServerLoad> load,
        Optional<String> malformedLoad,
        boolean limitUnreadable) {
    /** The notice of an upstream that announces nothing. */
    public static final UpstreamNotice NONE = builder().build();

    /** Creates a builder of a notice that announces nothing. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds an {@link UpstreamNotice}. */
    public static final class Builder {
        private OptionalDouble rateLimit = OptionalDouble.empty();
        private boolean leaving;
        private Duration pause = Duration.ZERO;
        private OptionalDouble maxRejections = OptionalDouble.empty();
        private Optional<ServerLoad> load = Optional.empty();
        private Optional<String> malformedLoad = Optional.empty();
        private boolean limitUnreadable;

        private Builder() {}

        /** Sets the requests per second that the upstream accepts from all nodes together. */
        public Builder rateLimit(double requestsPerSecond) {
            rateLimit = OptionalDouble.of(requestsPerSecond);
            return this;
        }

        /** Sets whether the upstream is about to shut down. */
        public Builder leaving(boolean announced) {
            leaving = announced;
            return this;
        }

        /** Sets how long this node should send nothing to the upstream. */
        public Builder pause(Duration requested) {
            pause = requested;
            return this;
        }

        /** Sets the requests per second that an upstream of the brittle pool can reject without failing. */
        public Builder maxRejections(double perSecond) {
            maxRejections = OptionalDouble.of(perSecond);
            return this;
        }

        /** Sets the load that the upstream reports together with the time that work takes on its VM. */
        public Builder load(ServerLoad reported) {
            load = Optional.of(reported);
            return this;
        }

        /** Sets the text of a load report that cannot be read. */
        public Builder malformedLoad(String text) {
            malformedLoad = Optional.of(text);
            return this;
        }

        /** Sets that the upstream names a rate limit that cannot be read. */
        public Builder limitUnreadable() {
            limitUnreadable = true;
            return this;
        }

        public UpstreamNotice build() {
            return new UpstreamNotice(rateLimit, leaving, pause, maxRejections, load, malformedLoad, limitUnreadable);
        }
    }
}
