package org.wagtaillug.standin.upstream;

import java.util.List;
import java.util.SplittableRandom;
import org.wagtaillug.standin.http.Hashing;

/** The infinite sequence of tokens generated for a prompt. It depends on prompt and seed only, so all engines agree. */
final class TokenSequence {
    private static final List<String> WORDS = List.of(
            "lentils", "rice", "basil", "ginger", "bread", "soup", "salad", "curry", "fish", "lemon", "with", "and",
            "for", "the", "table", "guests", "lunch", "supper", "fresh", "warm", "no", "nuts", "plain", "spiced",
            "beans", "greens", "yoghurt", "tea", "fruit", "seated", "by", "noon");

    private final SplittableRandom random;

    /**
     * Creates a sequence that starts at a given token.
     *
     * @param from the number of tokens to skip
     */
    TokenSequence(String prompt, long seed, int from) {
        random = new SplittableRandom(Hashing.number(prompt) + seed);
        for (int skipped = 0; skipped < from; skipped++) {
            next();
        }
    }

    /** Returns the next token, a word followed by a space. */
    String next() {
        return WORDS.get(random.nextInt(WORDS.size())) + " ";
    }
}
