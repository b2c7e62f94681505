package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * How messages are cut out of a connection's bytes: four bytes of length, then that many bytes of message. A frame of
 * length 0 carries no message; the side that accepted a connection sends it to show that it still reads.
 */
final class Frames {
    /** The most bytes of one message. */
    static final int LARGEST = 1 << 20;

    private static final int LENGTH_BYTES = 4;

    private Frames() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(LARGEST + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }

    /** An empty frame. */
    static ByteBuf acknowledgement() {
        return Unpooled.EMPTY_BUFFER;
    }
}
