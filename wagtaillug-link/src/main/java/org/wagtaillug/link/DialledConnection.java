package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;

/**
 * The dialling end of a connection to a peer.
 *
 * <p>A network device between the two ends may lose the state of a connection: the socket stays open, no data gets
 * through and no error is reported, while new connections work. The sign of it is that messages are not acknowledged.
 * The connection is then closed and replaced, which is safe because messages between nodes may be lost anyway.
 */
final class DialledConnection extends ChannelDuplexHandler {
    private static final Logger LOGGER = System.getLogger(DialledConnection.class.getName());

    private final VmId peer;
    private final LinkMeter meter;
    private final Backoff backoff;
    private final AcknowledgementTimer acknowledgementTimer;
    private final MessageReader reader;
    private boolean timeoutCheckScheduled;

    DialledConnection(
            VmId peer, MessageReader reader, LinkMeter meter, Backoff backoff, Duration acknowledgementTimeout) {
        this.peer = peer;
        this.reader = reader;
        this.meter = meter;
        this.backoff = backoff;
        this.acknowledgementTimer = new AcknowledgementTimer(acknowledgementTimeout);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        acknowledgementTimer.onWrite(System.nanoTime());
        scheduleTimeoutCheck(context);
        context.write(message, promise);
    }

    /**
     * At most one check is scheduled at a time and none while nothing is written, so idle connections cause no
     * wake-ups.
     */
    private void scheduleTimeoutCheck(ChannelHandlerContext context) {
        if (timeoutCheckScheduled) {
            return;
        }
        timeoutCheckScheduled = true;
        long remaining = acknowledgementTimer.remaining(System.nanoTime());
        context.executor().schedule(() -> checkTimeout(context), remaining, TimeUnit.NANOSECONDS);
    }

    private void checkTimeout(ChannelHandlerContext context) {
        timeoutCheckScheduled = false;
        if (!context.channel().isActive() || !acknowledgementTimer.pending()) {
            return;
        }
        if (acknowledgementTimer.expired(System.nanoTime())) {
            meter.timedOut.increment();
            LOGGER.log(Level.INFO, "closed the connection to {0}: messages were not acknowledged in time", peer);
            context.close();
            return;
        }
        scheduleTimeoutCheck(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        acknowledgementTimer.onRead();
        backoff.reset();
        Either<String, Optional<NodeId>> read = Either.right(Optional.empty());
        if (message instanceof ByteBuf frame && frame.isReadable()) {
            read = reader.read(frame);
        }
        ReferenceCountUtil.release(message);
        if (read.isLeft()) {
            meter.malformed.increment();
            LOGGER.log(Level.WARNING, "closed the connection to {0}: {1}", peer, read.getLeft());
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(Level.DEBUG, "closed the connection to " + peer, cause);
        context.close();
    }
}
