package org.wagtaillug.daemon.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Writes the bytes of one connection to another one, no faster than that accepts them. */
abstract class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel target;
    private boolean failed;

    Forwarder(Channel target) {
        this.target = target;
    }

    /** Writes bytes to the target. */
    abstract void forward(ByteBuf bytes, Channel to);

    /** Ends the target after the orderly end of the source. */
    abstract void end(Channel to);

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        forward((ByteBuf) message, target);
        if (!target.isWritable()) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        target.config().setAutoRead(context.channel().isWritable());
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (failed) {
            target.close();
            return;
        }
        end(target);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        context.close();
    }
}
