package org.wagtaillug.standin.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/** The messages of {@code /v1/completions}. */
final class Completion {
    private Completion() {}

    /**
     * A completion request.
     *
     * @param model the model's name; absent for the currently loaded model
     * @param prompt the prompt
     * @param maxTokens the number of tokens to generate, counted from token 0
     * @param stream whether each token is sent as an event
     * @param request the request's id
     * @param attempt this attempt's id
     * @param resumeFrom the offset of the first token to generate
     * @param seed the seed of the generated tokens
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
        private static final int DEFAULT_MAX_TOKENS = 16;

        /** Returns the call with defaults for all absent members. */
        Call withDefaults(String requestHeader, String attemptHeader) {
            return new Call(
                    model,
                    prompt,
                    maxTokens == null ? DEFAULT_MAX_TOKENS : maxTokens,
                    Boolean.TRUE.equals(stream),
                    request == null ? requestHeader : request,
                    attempt == null ? attemptHeader : attempt,
                    resumeFrom == null ? 0 : resumeFrom,
                    seed == null ? 0 : seed);
        }
    }

    /** A choice; {@code finishReason} is null until the last token. */
    record Choice(String text, @JsonInclude String finishReason) {}

    /** The event of one token, or the complete answer if it is not streamed. */
    record Answer(String id, String request, int tokenOffset, List<Choice> choices) {}
}
