package org.wagtaillug.link;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.message.PeerMessage;

/** Decodes the messages of peers, whichever side opened the connection, and passes them to the handler. */
final class MessageReader {
    private static final Logger LOGGER = System.getLogger(MessageReader.class.getName());

    private final NodeId self;
    private final BiConsumer<NodeId, PeerMessage> handler;
    private final LinkMeter meter;
    private final PeerMessageCodec codec = new PeerMessageCodec();

    MessageReader(NodeId self, BiConsumer<NodeId, PeerMessage> handler, LinkMeter meter) {
        this.self = self;
        this.handler = handler;
        this.meter = meter;
    }

    /**
     * Decodes one frame and passes its message to the handler.
     *
     * @return left: why the frame is invalid; right: its sender, empty if the message is not for this node
     */
    Either<String, Optional<NodeId>> read(ByteBuf frame) {
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        return codec.decode(bytes).map(this::deliver);
    }

    private Optional<NodeId> deliver(PeerMessageCodec.Envelope envelope) {
        // This node may have the address of a replaced VM; messages that peers still send to that VM must not be acted
        // on.
        if (!envelope.receiver().equals(self.vm())) {
            meter.misdirected.increment();
            return Optional.empty();
        }
        meter.messagesIn.increment();
        try {
            handler.accept(envelope.sender(), envelope.message());
        } catch (RuntimeException exception) {
            LOGGER.log(Level.ERROR, "the handler failed on a message from " + envelope.sender(), exception);
        }
        return Optional.of(envelope.sender());
    }
}
