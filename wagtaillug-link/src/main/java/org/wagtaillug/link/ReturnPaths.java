package org.wagtaillug.link;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtaillug.id.VmId;

/**
 * Connections opened by peers, over which this node replies to peers to which it maintains no connection of its own.
 */
final class ReturnPaths {
    private final Map<VmId, Channel> channels = new ConcurrentHashMap<>();

    /** Registers the connection over which a peer has sent a message. */
    void add(VmId peer, Channel channel) {
        Channel previous = channels.put(peer, channel);
        if (previous != channel) {
            channel.closeFuture().addListener(ignored -> channels.remove(peer, channel));
        }
    }

    Optional<Channel> find(VmId peer) {
        return Optional.ofNullable(channels.get(peer));
    }
}
