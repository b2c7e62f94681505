package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.message.PeerMessage;

/**
 * The receiving end of a connection that a peer made. All messages of the peer come in here; nothing but
 * acknowledgements goes back.
 */
final class AcceptedConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOGGER = System.getLogger(AcceptedConnection.class.getName());

    private final NodeId self;
    private final BiConsumer<NodeId, PeerMessage> handler;
    private final LinkMeter meter;
    private final Duration acknowledgementDelay;
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private boolean acknowledgementDue;

    AcceptedConnection(
            NodeId self, BiConsumer<NodeId, PeerMessage> handler, LinkMeter meter, Duration acknowledgementDelay) {
        this.self = self;
        this.handler = handler;
        this.meter = meter;
        this.acknowledgementDelay = acknowledgementDelay;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        acknowledgeSoon(context);
        if (!frame.isReadable()) {
            return;
        }
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        Either<String, PeerMessageCodec.Envelope> decoded = codec.decode(bytes);
        if (decoded.isLeft()) {
            giveUp(context, decoded.getLeft());
            return;
        }
        PeerMessageCodec.Envelope envelope = decoded.get();
        // A replaced VM's address may be ours now: what its peers still say to it must not be acted on here.
        if (!envelope.receiver().equals(self.vm())) {
            meter.foreign.increment();
            return;
        }
        meter.messagesIn.increment();
        handOver(envelope);
    }

    private void handOver(PeerMessageCodec.Envelope envelope) {
        try {
            handler.accept(envelope.sender(), envelope.message());
        } catch (RuntimeException exception) {
            LOGGER.log(Level.ERROR, "the handler failed on a message of " + envelope.sender(), exception);
        }
    }

    /**
     * The other side takes a connection over which nothing comes back for silent. One acknowledgement answers all that
     * came in the meantime, so that the cost does not grow with the traffic.
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
        context.writeAndFlush(Frames.acknowledgement());
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
