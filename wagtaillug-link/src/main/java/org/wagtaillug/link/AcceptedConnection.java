package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.vavr.control.Either;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wagtaillug.id.NodeId;

/**
 * The accepting end of a connection that a peer opened. Receives the peer's messages, and sends acknowledgements
 * back, as well as this node's messages to a peer to which it maintains no connection of its own.
 */
final class AcceptedConnection extends ChannelDuplexHandler {
    private static final Logger LOGGER = System.getLogger(AcceptedConnection.class.getName());

    private final MessageReader reader;
    private final ReturnPaths returnPaths;
    private final LinkMeter meter;
    private final Duration acknowledgementDelay;
    private boolean acknowledgementScheduled;
    private boolean writtenSinceLastRead;

    AcceptedConnection(MessageReader reader, ReturnPaths returnPaths, LinkMeter meter, Duration acknowledgementDelay) {
        this.reader = reader;
        this.returnPaths = returnPaths;
        this.meter = meter;
        this.acknowledgementDelay = acknowledgementDelay;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf frame = (ByteBuf) message;
        try {
            read(context, frame);
        } finally {
            frame.release();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        writtenSinceLastRead = true;
        context.write(message, promise);
    }

    private void read(ChannelHandlerContext context, ByteBuf frame) {
        writtenSinceLastRead = false;
        scheduleAcknowledgement(context);
        if (!frame.isReadable()) {
            return;
        }
        Either<String, Optional<NodeId>> sender = reader.read(frame);
        if (sender.isLeft()) {
            closeMalformed(context, sender.getLeft());
            return;
        }
        sender.get().ifPresent(peer -> returnPaths.add(peer.vm(), context.channel()));
    }

    /**
     * Acknowledges after a delay. The peer closes a connection over which it receives nothing in return. One
     * acknowledgement covers all frames received during the delay, so that the cost does not grow with the traffic; a
     * message that this node sends counts as an acknowledgement too.
     */
    private void scheduleAcknowledgement(ChannelHandlerContext context) {
        if (acknowledgementScheduled) {
            return;
        }
        acknowledgementScheduled = true;
        context.executor().schedule(() -> acknowledge(context), acknowledgementDelay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void acknowledge(ChannelHandlerContext context) {
        acknowledgementScheduled = false;
        if (!writtenSinceLastRead) {
            context.writeAndFlush(Frames.acknowledgement());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
            return;
        }
        closeMalformed(context, String.valueOf(cause.getMessage()));
    }

    private void closeMalformed(ChannelHandlerContext context, String reason) {
        meter.malformed.increment();
        LOGGER.log(
                Level.WARNING,
                "closed the connection from {0}: {1}",
                context.channel().remoteAddress(),
                reason);
        context.close();
    }
}
