package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Framing of messages on a connection: a four-byte length followed by that many bytes of message. A frame of length 0
 * carries no message; the accepting side of a connection sends it as an acknowledgement, which shows that it still
 * reads.
 */
final class Frames {
    /** Maximum size of one message in bytes. */
    static final int MAX_MESSAGE_BYTES = 1 << 20;

    private static final int LENGTH_BYTES = 4;

    private Frames() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }

    /** An empty frame. */
    static ByteBuf acknowledgement() {
        return Unpooled.EMPTY_BUFFER;
    }
}
