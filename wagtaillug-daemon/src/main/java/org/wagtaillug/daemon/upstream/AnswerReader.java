package org.wagtaillug.daemon.upstream;

import java.nio.ByteBuffer;
import org.wagtaillug.dispatch.AttemptEnd;

/** Reads the body of a successful answer. Used by one thread at a time. */
sealed interface AnswerReader permits TokenReader, ValueReader {
    /**
     * Reads the next bytes.
     *
     * @return false if the answer is invalid and the connection should be closed
     */
    boolean read(ByteBuffer bytes);

    /** The result of the attempt, after the upstream has ended the body. */
    AttemptEnd end();
}
