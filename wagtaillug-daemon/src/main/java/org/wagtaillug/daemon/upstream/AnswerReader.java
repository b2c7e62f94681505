package org.wagtaillug.daemon.upstream;

import java.nio.ByteBuffer;
import org.wagtaillug.dispatch.AttemptEnd;

/** Reads the body of a successful answer. Used by one thread at a time. */
sealed interface AnswerReader permits TokenReader, ValueReader {
    /**
     * Takes the next bytes.
     *
     * @return false if the answer is useless and the connection should be closed
     */
    boolean read(ByteBuffer bytes);

    /** What the body amounts to, once the upstream has ended it. */
    AttemptEnd end();
}
