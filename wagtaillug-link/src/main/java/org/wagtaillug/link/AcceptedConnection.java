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
 * The accepting end of a connection that a peer made. The peer's messages come in here; acknowledgements go back, and what
 * this node says to a peer that it keeps no connection to.
 */
final class AcceptedConnection extends ChannelDuplexHandler {
    private static final Logger LOGGER = System.getLogger(AcceptedConnection.class.getName());

    private final MessageReader reader;
    private final ReturnPaths returnPaths;
    private final LinkMeter meter;
    private final Duration acknowledgementDelay;
    private boolean acknowledgementDue;
    private boolean answered;

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
        answered = true;
        context.write(message, promise);
    }

    private void read(ChannelHandlerContext context, ByteBuf frame) {
        answered = false;
        acknowledgeSoon(context);
        if (!frame.isReadable()) {
            return;
        }
        Either<String, Optional<NodeId>> sender = reader.read(frame);
        if (sender.isLeft()) {
            giveUp(context, sender.getLeft());
            return;
        }
        sender.get().ifPresent(peer -> returnPaths.add(peer.vm(), context.channel()));
    }

    /**
     * The other side takes a connection over which nothing comes back for silent. One acknowledgement answers all that
     * came in the meantime, so that the cost does not grow with the traffic; a message of this node is one too.
     */
    private void acknowledgeSoon(ChannelHandlerContext context) {
        if (acknowledgementDue) {
            return;
        }
        acknowledgementDue = true;
        context.executor().schedule(() -> acknowledge(context), acknowledgementDelay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void acknowledge(ChannelHandlerContext context) {
        acknowledgementDue = false;
        if (!answered) {
            context.writeAndFlush(Frames.acknowledgement());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
            return;
        }
        giveUp(context, String.valueOf(cause.getMessage()));
    }

    private void giveUp(ChannelHandlerContext context, String reason) {
        meter.malformed.increment();
        LOGGER.log(
                Level.WARNING,
                "closed the connection from {0}: {1}",
                context.channel().remoteAddress(),
                reason);
        context.close();
    }
}
