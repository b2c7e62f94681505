package org.wagtaillug.standin.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.SplittableRandom;
import org.wagtaillug.standin.http.Hashing;
import org.wagtaillug.standin.http.Json;

/** Creates the body of a request from the input of its kind or from random words. */
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

    private static final int PREFIX_WORDS = 64;

    private RequestBody() {}

    static String write(Arrival arrival, SplittableRandom random) {
        LoadFile.Kind kind = arrival.kind();
        ObjectNode body = Json.mapper().createObjectNode();
        String prefix = prefix(arrival, random);
        if (kind.input() == null) {
            body.put("input", prefixWords(prefix) + words(kind.inputWords(), random));
        } else {
            body.set("input", kind.input());
        }
        if (kind.maxTokens() != null) {
            body.put("max_tokens", kind.maxTokens());
        }
        if (!prefix.isEmpty()) {
            body.put("prefix", prefix);
        }
        body.put("stream", kind.stream());
        return Json.text(body);
    }

    private static String prefix(Arrival arrival, SplittableRandom random) {
        LoadFile.Kind kind = arrival.kind();
        if (kind.prefix() == null) {
            return "";
        }
        if (kind.prefixes() == 1) {
            return kind.prefix();
        }
        return kind.prefix() + "-" + arrival.customer().name() + "-" + random.nextInt(kind.prefixes());
    }

    /** Returns the words at the start of all inputs with a prefix, enough to fill the cached prefix of an engine. */
    private static String prefixWords(String prefix) {
        if (prefix.isEmpty()) {
            return "";
        }
        return prefix + " " + words(PREFIX_WORDS, new SplittableRandom(Hashing.number(prefix))) + " ";
    }

    private static String words(int count, SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < count; index++) {
            text.append(index == 0 ? "" : " ").append(WORDS.get(random.nextInt(WORDS.size())));
        }
        return text.toString();
    }
}
