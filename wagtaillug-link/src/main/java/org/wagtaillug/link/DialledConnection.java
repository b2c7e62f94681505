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
 * The sending end of a connection to a peer.
 *
 * <p>Something between the two ends may lose track of a connection: the socket stays open, nothing gets through any
 * more, and no error ever comes, while new connections work. It shows as messages that are never acknowledged. Closing
 * the connection then is safe, since messages between nodes may be lost anyway, and the new one works.
 */
final class DialledConnection extends ChannelDuplexHandler {
    private static final Logger LOGGER = System.getLogger(DialledConnection.class.getName());

    private final VmId peer;
    private final LinkMeter meter;
    private final Backoff backoff;
    private final Silence silence;
    private final MessageReader reader;
    private boolean checkScheduled;

    DialledConnection(VmId peer, MessageReader reader, LinkMeter meter, Backoff backoff, Duration longestSilence) {
        this.peer = peer;
        this.reader = reader;
        this.meter = meter;
        this.backoff = backoff;
        this.silence = new Silence(longestSilence);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        silence.written(System.nanoTime());
        scheduleCheck(context);
        context.write(message, promise);
    }

    /** One check waits at a time, and none while nothing is written: an idle connection wakes nobody. */
    private void scheduleCheck(ChannelHandlerContext context) {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        long left = silence.left(System.nanoTime());
        context.executor().schedule(() -> check(context), left, TimeUnit.NANOSECONDS);
    }

    private void check(ChannelHandlerContext context) {
        checkScheduled = false;
        if (!context.channel().isActive() || !silence.waiting()) {
            return;
        }
        if (silence.tooLong(System.nanoTime())) {
            meter.silent.increment();
            LOGGER.log(Level.INFO, "closed the connection to {0}: it has fallen silent", peer);
            context.close();
            return;
        }
        scheduleCheck(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        silence.heard();
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
