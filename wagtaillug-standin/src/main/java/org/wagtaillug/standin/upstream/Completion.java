package org.wagtaillug.standin.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/** The messages of {@code /v1/completions}. */
final class Completion {
    private Completion() {}

    /**
     * What a caller asks.
     *
     * @param model the model's name; absent for whichever is loaded
     * @param prompt the prompt
     * @param maxTokens how many tokens to give, counted from token 0
     * @param stream whether to send each token as an event
     * @param request the request's id
     * @param attempt this attempt's id
     * @param resumeFrom the first token to give
     * @param seed the seed
     */
    record Call(
            String model,
            String prompt,
            Integer maxTokens,
            Boolean stream,
            String request,
            String attempt,
            Integer resumeFrom,
            Long seed) {
        private static final int DEFAULT_MAXIMUM_TOKENS = 16;

        /** Returns the call with a default for each absent member. */
        Call withDefaults(String requestHeader, String attemptHeader) {
            return new Call(
                    model,
                    prompt,
                    maxTokens == null ? DEFAULT_MAXIMUM_TOKENS : maxTokens,
                    Boolean.TRUE.equals(stream),
                    request == null ? requestHeader : request,
                    attempt == null ? attemptHeader : attempt,
                    resumeFrom == null ? 0 : resumeFrom,
                    seed == null ? 0 : seed);
        }
    }

    /** One choice; {@code finishReason} is null while more comes. */
    record Choice(String text, @JsonInclude String finishReason) {}

    /** One token's event, or the whole answer when not streamed. */
    record Answer(String id, String request, int tokenOffset, List<Choice> choices) {}
}
