package org.wagtaillug.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The texts that the messages of problems must have, letter by letter. */
final class Golden {
    private Golden() {}

    static String text(String name) {
        try (InputStream stream = Golden.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }
}
