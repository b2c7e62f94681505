package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the traffic of all connections of one link; the first handler after the socket in each pipeline. */
@ChannelHandler.Sharable
final class LinkMeter extends ChannelDuplexHandler {
    final LongAdder messagesIn = new LongAdder();
    final LongAdder messagesOut = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder misdirected = new LongAdder();
    final LongAdder malformed = new LongAdder();
    final LongAdder timedOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            bytesIn.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            bytesOut.add(bytes.readableBytes());
        }
        context.write(message, promise);
    }

    LinkCounters counters(int connections) {
        return new LinkCounters(
                bytesIn.sum(),
                bytesOut.sum(),
                messagesIn.sum(),
                messagesOut.sum(),
                dropped.sum(),
                misdirected.sum(),
                malformed.sum(),
                timedOut.sum(),
                connections);
    }
}
