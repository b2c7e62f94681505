package org.wagtaillug.standin.upstream;

import java.util.List;
import java.util.SplittableRandom;
import org.wagtaillug.standin.http.Hashing;

/** The tokens that follow a prompt: endless, and the same for the same prompt and seed in every engine. */
final class TokenSequence {
    private static final List<String> WORDS = List.of(
            "lentils", "rice", "basil", "ginger", "bread", "soup", "salad", "curry", "fish", "lemon", "with", "and",
            "for", "the", "table", "guests", "lunch", "supper", "fresh", "warm", "no", "nuts", "plain", "spiced",
            "beans", "greens", "yoghurt", "tea", "fruit", "seated", "by", "noon");

    private final SplittableRandom random;

    /**
     * Begins at a token.
     *
     * @param from how many tokens to skip
     */
    TokenSequence(String prompt, long seed, int from) {
        random = new SplittableRandom(Hashing.number(prompt) + seed);
        for (int skipped = 0; skipped < from; skipped++) {
            next();
        }
    }

    /** Returns the next token, a word with a space behind it. */
    String next() {
        return WORDS.get(random.nextInt(WORDS.size())) + " ";
    }
}
