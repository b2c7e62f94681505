package org.wagtaillug.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reads the expected texts of problem messages, which are compared exactly. */
final class Golden {
    private Golden() {}

    static String text(String name) {
        try (InputStream stream = Golden.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
