package org.wagtaillug.daemon.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Reads the request of a peer, then stops reading until the tunnel is open. */
final class TunnelRequestDecoder extends ByteToMessageDecoder {
    private static final Logger LOGGER = System.getLogger(TunnelRequestDecoder.class.getName());

    private final BiConsumer<Channel, TunnelRequest> requests;
    private boolean decoded;

    TunnelRequestDecoder(BiConsumer<Channel, TunnelRequest> requests) {
        this.requests = requests;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (decoded) {
            return;
        }
        ByteBuffer bytes = in.nioBuffer();
        Optional<TunnelRequest> request = TunnelRequest.decode(bytes);
        if (request.isEmpty()) {
            return;
        }
        in.skipBytes(bytes.position());
        decoded = true;
        context.channel().config().setAutoRead(false);
        requests.accept(context.channel(), request.get());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(Level.INFO, "closed a tunnel before it was open: {0}", cause);
        context.close();
    }
}
