package org.wagtaillug.standin.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.SplittableRandom;
import org.wagtaillug.standin.http.Hashing;
import org.wagtaillug.standin.http.Json;

/** Writes the body of a request: the kind's input, or random words. */
final class RequestBody {
    private static final List<String> WORDS = List.of(
            "lunch",
            "for",
            "twelve",
            "without",
            "nuts",
            "vegetarian",
            "fish",
            "on",
            "friday",
            "two",
            "guests",
            "with",
            "allergies",
            "quiet",
            "table",
            "near",
            "the",
            "window",
            "spicy",
            "mild",
            "dessert",
            "early",
            "budget",
            "halal",
            "gluten",
            "free");

    /** Longer than the start of a prompt that an engine caches. */
    private static final int PREFIX_WORDS = 80;

    private RequestBody() {}

    static String write(Arrival arrival, SplittableRandom random) {
        LoadFile.Kind kind = arrival.kind();
        ObjectNode body = Json.mapper().createObjectNode();
        String start = "";
        if (kind.prefixes() > 0) {
            String prefix = kind.name() + "-" + random.nextInt(kind.prefixes());
            body.put("prefix", prefix);
            start = words(PREFIX_WORDS, new SplittableRandom(Hashing.number(prefix))) + " ";
        }
        if (kind.input() == null) {
            body.put("input", start + words(kind.inputWords(), random));
        } else {
            body.set("input", kind.input());
        }
        if (kind.maxTokens() != null) {
            body.put("max_tokens", kind.maxTokens());
        }
        body.put("stream", kind.stream());
        return Json.text(body);
    }

    private static String words(int count, SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < count; index++) {
            text.append(index == 0 ? "" : " ").append(WORDS.get(random.nextInt(WORDS.size())));
        }
        return text.toString();
    }
}
