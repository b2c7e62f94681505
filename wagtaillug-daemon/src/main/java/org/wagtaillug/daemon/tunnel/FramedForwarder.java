package org.wagtaillug.daemon.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/** Forwards the bytes of an upstream to a peer in frames, with an empty frame at the orderly end of the connection. */
final class FramedForwarder extends Forwarder {
    FramedForwarder(Channel peer) {
        super(peer);
    }

    @Override
    void forward(ByteBuf bytes, Channel peer) {
        peer.write(peer.alloc().buffer(Integer.BYTES).writeInt(bytes.readableBytes()), peer.voidPromise());
        peer.writeAndFlush(bytes, peer.voidPromise());
    }

    @Override
    void end(Channel peer) {
        peer.writeAndFlush(peer.alloc().buffer(Integer.BYTES).writeInt(0)).addListener(ChannelFutureListener.CLOSE);
    }
}
