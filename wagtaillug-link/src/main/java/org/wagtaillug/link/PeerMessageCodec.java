package org.wagtaillug.link;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.DateTimeException;
import java.time.Duration;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.EnvelopeMessage;
import org.wagtaillug.link.generated.PositionMessage;
import org.wagtaillug.link.generated.ProbeMessage;
import org.wagtaillug.link.generated.ProbeReplyMessage;
import org.wagtaillug.link.generated.StateAskMessage;
import org.wagtaillug.link.generated.StateReplyMessage;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.message.ServingMessage;

/** Encodes and decodes messages between nodes, with their sender and receiver. */
public final class PeerMessageCodec {
    /**
     * A message with its sender and receiver.
     *
     * @param sender the node that sent it
     * @param receiver the VM of the node that it is addressed to
     * @param message the payload
     */
    public record Envelope(NodeId sender, VmId receiver, PeerMessage message) {}

    /** Encodes a message; the inverse of {@link #decode}. */
    public byte[] encode(Envelope envelope) {
        EnvelopeMessage.Builder message = EnvelopeMessage.newBuilder()
                .setSender(ControlCodec.encode(envelope.sender()))
                .setReceiver(envelope.receiver().value());
        switch (envelope.message()) {
            case PeerMessage.Probe probe ->
                message.setProbe(
                        ProbeMessage.newBuilder().setSequence(probe.sequence()).setPosition(encode(probe.position())));
            case PeerMessage.ProbeReply reply -> message.setProbeReply(encode(reply));
            case PeerMessage.StateRequest ignored -> message.setStateAsk(StateAskMessage.getDefaultInstance());
            case PeerMessage.StateReply reply -> message.setStateReply(encode(reply));
            case PeerMessage.GrantRequest request -> message.setGrantAsk(GrantCodec.encode(request));
            case PeerMessage.GrantReply reply -> message.setGrantReply(GrantCodec.encode(reply));
            case ServingMessage serving -> ServingCodec.encode(serving, message);
        }
        return message.build().toByteArray();
    }

    /** Decodes a message; the left side says why it is invalid. Never throws. */
    public Either<String, Envelope> decode(byte[] bytes) {
        try {
            return decode(EnvelopeMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException
                | IllegalArgumentException
                | ArithmeticException
                | DateTimeException exception) {
            return Either.left("cannot decode a message of " + bytes.length + " bytes: " + exception.getMessage());
        }
    }

    private static Either<String, Envelope> decode(EnvelopeMessage message) {
        NodeId sender = ControlCodec.decode(message.getSender());
        VmId receiver = new VmId(message.getReceiver());
        return switch (message.getKindCase()) {
            case PROBE ->
                Either.right(new Envelope(
                        sender,
                        receiver,
                        new PeerMessage.Probe(
                                message.getProbe().getSequence(),
                                decode(message.getProbe().getPosition()))));
            case PROBE_REPLY -> Either.right(new Envelope(sender, receiver, decode(message.getProbeReply())));
            case STATE_ASK -> Either.right(new Envelope(sender, receiver, new PeerMessage.StateRequest()));
            case STATE_REPLY -> Either.right(new Envelope(sender, receiver, decode(message.getStateReply())));
            case GRANT_ASK -> Either.right(new Envelope(sender, receiver, GrantCodec.decode(message.getGrantAsk())));
            case GRANT_REPLY ->
                Either.right(new Envelope(sender, receiver, GrantCodec.decode(message.getGrantReply())));
            case HEARTBEAT,
                    FEED_ASK,
                    FEED_HELP,
                    FEED_UPDATE,
                    PIECES_WANTED,
                    PIECES_ANSWERED,
                    PIECES_WITHDRAWN,
                    RESULTS_RELEASED,
                    ROLLOUT_REPORT,
                    STREAMS_BEGAN,
                    STREAM_QUERY,
                    STREAM_REPLY,
                    RESERVATION_REQUEST,
                    RESERVATION_REPLY,
                    RESERVATION_CANCELLATION,
                    ASSIGNMENT_REQUEST,
                    ASSIGNMENT_REPLY,
                    ASSIGNMENT_UPDATE -> Either.right(new Envelope(sender, receiver, ServingCodec.decode(message)));
            case KIND_NOT_SET -> Either.left("the message of " + sender + " has a kind unknown to this version");
        };
    }

    private static PositionMessage encode(PeerMessage.Position position) {
        return PositionMessage.newBuilder()
                .setThrough(position.through())
                .setDigest(position.digest())
                .build();
    }

    private static PeerMessage.Position decode(PositionMessage message) {
        return new PeerMessage.Position(message.getThrough(), message.getDigest());
    }

    private static ProbeReplyMessage encode(PeerMessage.ProbeReply reply) {
        ProbeReplyMessage.Builder message = ProbeReplyMessage.newBuilder()
                .setSequence(reply.sequence())
                .setPosition(encode(reply.position()))
                .setLogReachable(reply.logReachable())
                .setReady(reply.ready());
        reply.tailAge().ifPresent(age -> message.setTailAge(TimeCodec.encode(age)));
        return message.build();
    }

    private static PeerMessage.ProbeReply decode(ProbeReplyMessage message) {
        Optional<Duration> tailAge =
                message.hasTailAge() ? Optional.of(TimeCodec.decode(message.getTailAge())) : Optional.empty();
        return new PeerMessage.ProbeReply(
                message.getSequence(),
                decode(message.getPosition()),
                tailAge,
                message.getLogReachable(),
                message.getReady());
    }

    private static StateReplyMessage encode(PeerMessage.StateReply reply) {
        return StateReplyMessage.newBuilder()
                .setThrough(reply.through())
                .addAllEntries(ControlCodec.encodeEntries(reply.entries()))
                .addAllMembers(ControlCodec.encodeMembers(reply.members()))
                .build();
    }

    private static PeerMessage.StateReply decode(StateReplyMessage message) {
        return new PeerMessage.StateReply(
                message.getThrough(),
                ControlCodec.decodeEntries(message.getEntriesList()),
                ControlCodec.decodeMembers(message.getMembersList()));
    }
}
