package org.wagtaillug.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalLong;
import org.wagtaillug.standin.options.NearestName;

/** A fault to inject into a stand-in, read from {@code POST /faults}. */
public sealed interface Fault {
    /** Clears all faults except silenced connections, which stay silent permanently. */
    record None() implements Fault {}

    /** Every call answers 503. */
    record Outage() implements Fault {}

    /** The currently open connections are never answered again. */
    record Silent() implements Fault {}

    /** All processing takes {@code factor} times as long. */
    record Slow(double factor) implements Fault {}

    /** The stand-in restarts and is down for {@code downMillis}, or for its configured restart duration if absent. */
    record Restart(OptionalLong downMillis) implements Fault {}

    /** The next {@code count} answers have the given fault. */
    record Answers(AnswerFault kind, int count) implements Fault {}

    /** The valid values of the {@code fault} member. */
    List<String> NAMES =
            List.of("none", "outage", "silent", "slow", "restart", "answer-lost", "wrong-answer", "cut-answer");

    /** Reads a fault; returns an error message if it is invalid. */
    static Either<String, Fault> read(byte[] body) {
        return Json.read(body, JsonNode.class).flatMap(Fault::read);
    }

    private static Either<String, Fault> read(JsonNode node) {
        String name = node.path("fault").asText("");
        return switch (name) {
            case "none" -> Either.right(new None());
            case "outage" -> Either.right(new Outage());
            case "silent" -> Either.right(new Silent());
            case "slow" -> slow(node.path("factor"));
            case "restart" -> restart(node.path("down_millis"));
            case "answer-lost" -> answers(AnswerFault.LOST, node.path("count"));
            case "wrong-answer" -> answers(AnswerFault.WRONG, node.path("count"));
            case "cut-answer" -> answers(AnswerFault.CUT, node.path("count"));
            default -> Either.left("fault: found '" + name + "', " + NearestName.expected(name, NAMES));
        };
    }

    private static Either<String, Fault> slow(JsonNode factor) {
        if (!factor.isNumber() || factor.asDouble() <= 0) {
            return Either.left("factor: found '" + factor.asText() + "', expected a number above 0");
        }
        return Either.right(new Slow(factor.asDouble()));
    }

    private static Either<String, Fault> restart(JsonNode downMillis) {
        if (downMillis.isMissingNode()) {
            return Either.right(new Restart(OptionalLong.empty()));
        }
        if (!downMillis.canConvertToLong() || downMillis.asLong() < 0) {
            return Either.left("down_millis: found '" + downMillis.asText() + "', expected milliseconds from 0");
        }
        return Either.right(new Restart(OptionalLong.of(downMillis.asLong())));
    }

    private static Either<String, Fault> answers(AnswerFault kind, JsonNode count) {
        if (count.isMissingNode()) {
            return Either.right(new Answers(kind, 1));
        }
        if (!count.canConvertToInt() || count.asInt() < 1) {
            return Either.left("count: found '" + count.asText() + "', expected a whole number from 1");
        }
        return Either.right(new Answers(kind, count.asInt()));
    }
}
