package org.wagtaillug.daemon.body;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The memory of the bodies of all requests. */
class BodyMemoryTest {
    private static final int LONG = BodyMemory.FREE_BYTES + 1000;

    private final BodyMemory memory = new BodyMemory(2500);

    private BodyBuffer buffer(long declaredLength) {
        return new BodyBuffer(memory.open(), declaredLength);
    }

    /** Guards against long bodies that together take more than the memory for them, and against room that is lost. */
    @Test
    void bodiesHaveRoomUntilTheMemoryIsFullAndAgainWhenOthersAreDone() {
        BodyBuffer first = buffer(LONG);
        assertThat(first.reserveDeclared()).isTrue();
        assertThat(buffer(LONG).reserveDeclared()).isTrue();
        assertThat(buffer(LONG).reserveDeclared()).isFalse();
        first.discard();
        first.discard();
        assertThat(buffer(LONG).reserveDeclared()).isTrue();
        assertThat(memory.used()).isEqualTo(2000);
    }

    /** Guards against short requests that are refused because others send long ones. */
    @Test
    void shortBodiesAlwaysHaveRoom() {
        buffer(BodyMemory.FREE_BYTES + 2500).reserveDeclared();
        assertThat(buffer(BodyMemory.FREE_BYTES).reserveDeclared()).isTrue();
        assertThat(buffer(-1).append(ByteBuffer.allocate(1000))).isTrue();
    }

    /** Guards against bodies in chunks, whose length is not known before, that are not counted. */
    @Test
    void aBodyInChunksIsRefusedWhenItOutgrowsTheMemory() {
        BodyBuffer body = buffer(-1);
        assertThat(body.append(ByteBuffer.allocate(LONG / 2))).isTrue();
        assertThat(body.append(ByteBuffer.allocate(LONG / 2))).isFalse();
        body.discard();
        assertThat(memory.used()).isZero();
    }

    /** Guards against bytes that are lost or out of order. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, -1", "1000, 1000", "1000, -1", "1000, 1200", "1000, 800"})
    void theBodyIsWhatWasReceived(int length, int declaredLength) {
        byte[] sent = new byte[length];
        new Random(1).nextBytes(sent);
        BodyBuffer body = buffer(declaredLength);
        for (int position = 0; position < length; position += 100) {
            body.append(ByteBuffer.wrap(sent, position, 100));
        }
        assertThat(body.takeBytes()).isEqualTo(sent);
    }

    /** Guards against memory that is taken for bytes that arrive after their request was refused. */
    @Test
    void bytesThatArriveAfterTheBodyWasDiscardedAreIgnored() {
        BodyBuffer body = buffer(LONG);
        body.reserveDeclared();
        body.discard();
        assertThat(body.append(ByteBuffer.allocate(10))).isTrue();
        assertThat(body.length()).isZero();
        assertThat(memory.used()).isZero();
    }
}
