package org.wagtaillug.daemon.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;

/** Forwards the bytes of a peer to an upstream; a peer that leaves ends the upstream's connection at once. */
final class RawForwarder extends Forwarder {
    RawForwarder(Channel upstream) {
        super(upstream);
    }

    @Override
    void forward(ByteBuf bytes, Channel upstream) {
        upstream.writeAndFlush(bytes, upstream.voidPromise());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    void end(Channel upstream) {
        upstream.close();
    }
}
