package org.wagtaillug.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.batch.OrderContext;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.SegmentId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.AssignmentReplyMessage;
import org.wagtaillug.link.generated.AssignmentRequestMessage;
import org.wagtaillug.link.generated.AssignmentUpdateMessage;
import org.wagtaillug.link.generated.AttemptReportMessage;
import org.wagtaillug.link.generated.AttemptStateMessage;
import org.wagtaillug.link.generated.OrderContextMessage;
import org.wagtaillug.link.generated.PrefixSegmentMessage;
import org.wagtaillug.link.generated.ReservationReplyMessage;
import org.wagtaillug.link.generated.ReservationRequestMessage;
import org.wagtaillug.link.generated.ServerLoadMessage;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.routing.PrefixSegment;

/** Converts the messages of the features for contended upstreams to and from protobuf. */
final class ContentionCodec {
    private ContentionCodec() {}

    static OrderContextMessage encode(OrderContext context) {
        OrderContextMessage.Builder message =
                OrderContextMessage.newBuilder().setCompletedSteps(context.completedSteps());
        context.customer().ifPresent(customer -> message.setCustomer(customer.value()));
        context.content().ifPresent(content -> message.setContent(content.value()));
        return message.build();
    }

    static OrderContext decode(OrderContextMessage message) {
        return new OrderContext(
                message.hasCustomer() ? Optional.of(new CustomerId(message.getCustomer())) : Optional.empty(),
                message.hasContent() ? Optional.of(new SegmentId(message.getContent())) : Optional.empty(),
                message.getCompletedSteps());
    }

    static ReservationRequestMessage encode(ServingMessage.ReservationRequest request) {
        return ReservationRequestMessage.newBuilder()
                .setNumber(request.number())
                .setRequest(request.request().value())
                .setStep(request.step())
                .setPool(request.pool().value())
                .setItems(request.items())
                .setResultBytes(request.resultBytes())
                .setRank(request.rank())
                .setArrivesInMillis(request.arrivesIn().toMillis())
                .setTargetTimeLeftMillis(request.targetTimeLeft().toMillis())
                .setDeadlineLeftMillis(request.deadlineLeft().toMillis())
                .setContext(encode(request.context()))
                .build();
    }

    static ServingMessage.ReservationRequest decode(ReservationRequestMessage message) {
        return new ServingMessage.ReservationRequest(
                message.getNumber(),
                new RequestId(message.getRequest()),
                message.getStep(),
                new PoolId(message.getPool()),
                message.getItems(),
                message.getResultBytes(),
                message.getRank(),
                Duration.ofMillis(message.getArrivesInMillis()),
                Duration.ofMillis(message.getTargetTimeLeftMillis()),
                Duration.ofMillis(message.getDeadlineLeftMillis()),
                decode(message.getContext()));
    }

    static ReservationReplyMessage encode(ServingMessage.ReservationReply reply) {
        ReservationReplyMessage.Builder message = ReservationReplyMessage.newBuilder()
                .setNumber(reply.number())
                .setGranted(reply.granted())
                .setRetryAfterMillis(reply.retryAfter().toMillis());
        reply.callDuration().ifPresent(duration -> message.setCallDurationMillis(duration.toMillis()));
        return message.build();
    }

    static ServingMessage.ReservationReply decode(Optional<NodeId> recipient, ReservationReplyMessage message) {
        return new ServingMessage.ReservationReply(
                recipient,
                message.getNumber(),
                message.getGranted(),
                Duration.ofMillis(message.getRetryAfterMillis()),
                message.hasCallDurationMillis()
                        ? Optional.of(Duration.ofMillis(message.getCallDurationMillis()))
                        : Optional.empty());
    }

    static AssignmentRequestMessage encode(ServingMessage.AssignmentRequest request) {
        AssignmentRequestMessage.Builder message = AssignmentRequestMessage.newBuilder()
                .setNumber(request.number())
                .setRequest(request.request().value())
                .setPool(request.pool().value())
                .addAllSegments(encodeSegments(request.segments()))
                .setPromptTokens(request.promptTokens())
                .setOutputTokens(request.outputTokens())
                .setRank(request.rank())
                .setInputBytes(request.inputBytes())
                .setDeadlineLeftMillis(request.deadlineLeft().toMillis());
        request.inputsDomain().ifPresent(domain -> message.setInputsDomain(domain.value()));
        request.excluded().forEach(engine -> message.addExcluded(engine.value()));
        return message.build();
    }

    static ServingMessage.AssignmentRequest decode(AssignmentRequestMessage message) {
        Set<VmId> excluded = new HashSet<>();
        message.getExcludedList().forEach(engine -> excluded.add(new VmId(engine)));
        return new ServingMessage.AssignmentRequest(
                message.getNumber(),
                new RequestId(message.getRequest()),
                new PoolId(message.getPool()),
                decodeSegments(message.getSegmentsList()),
                message.getPromptTokens(),
                message.getOutputTokens(),
                message.getRank(),
                message.hasInputsDomain() ? Optional.of(new DomainId(message.getInputsDomain())) : Optional.empty(),
                message.getInputBytes(),
                excluded,
                Duration.ofMillis(message.getDeadlineLeftMillis()));
    }

    static AssignmentReplyMessage encode(ServingMessage.AssignmentReply reply) {
        AssignmentReplyMessage.Builder message =
                AssignmentReplyMessage.newBuilder().setNumber(reply.number());
        reply.engines().forEach(engine -> message.addEngines(engine.value()));
        return message.build();
    }

    static ServingMessage.AssignmentReply decode(Optional<NodeId> recipient, AssignmentReplyMessage message) {
        return new ServingMessage.AssignmentReply(
                recipient,
                message.getNumber(),
                message.getEnginesList().stream().map(VmId::new).toList());
    }

    static AssignmentUpdateMessage encode(ServingMessage.AssignmentUpdate update) {
        AssignmentUpdateMessage.Builder message =
                AssignmentUpdateMessage.newBuilder().setPool(update.pool().value());
        for (AttemptReport attempt : update.attempts()) {
            AttemptReportMessage.Builder report = AttemptReportMessage.newBuilder()
                    .setRequest(attempt.request().value())
                    .setAttempt(attempt.attempt())
                    .setEngine(attempt.engine().value())
                    .setState(encode(attempt.state()))
                    .addAllSegments(encodeSegments(attempt.segments()))
                    .setPromptTokens(attempt.promptTokens())
                    .setOutputTokens(attempt.outputTokens())
                    .setDeadlineLeftMillis(attempt.deadlineLeft().toMillis());
            attempt.load().ifPresent(load -> report.setLoad(encode(load)));
            message.addAttempts(report);
        }
        return message.build();
    }

    static ServingMessage.AssignmentUpdate decode(AssignmentUpdateMessage message) {
        List<AttemptReport> attempts = new ArrayList<>();
        for (AttemptReportMessage report : message.getAttemptsList()) {
            attempts.add(new AttemptReport(
                    new RequestId(report.getRequest()),
                    report.getAttempt(),
                    new VmId(report.getEngine()),
                    decode(report.getState()),
                    decodeSegments(report.getSegmentsList()),
                    report.getPromptTokens(),
                    report.getOutputTokens(),
                    Duration.ofMillis(report.getDeadlineLeftMillis()),
                    report.hasLoad() ? Optional.of(decode(report.getLoad())) : Optional.empty()));
        }
        return new ServingMessage.AssignmentUpdate(new PoolId(message.getPool()), attempts);
    }

    private static ServerLoadMessage encode(ServerLoad load) {
        return ServerLoadMessage.newBuilder()
                .setRunning(load.running())
                .setWaiting(load.waiting())
                .setSlots(load.slots())
                .setSlowdown(load.slowdown())
                .build();
    }

    private static ServerLoad decode(ServerLoadMessage message) {
        return new ServerLoad(message.getRunning(), message.getWaiting(), message.getSlots(), message.getSlowdown());
    }

    private static AttemptStateMessage encode(AttemptReport.State state) {
        return switch (state) {
            case SENT -> AttemptStateMessage.ATTEMPT_STATE_SENT;
            case ANSWERING -> AttemptStateMessage.ATTEMPT_STATE_ANSWERING;
            case ENDED -> AttemptStateMessage.ATTEMPT_STATE_ENDED;
        };
    }

    private static AttemptReport.State decode(AttemptStateMessage state) {
        return switch (state) {
            case ATTEMPT_STATE_SENT -> AttemptReport.State.SENT;
            case ATTEMPT_STATE_ANSWERING -> AttemptReport.State.ANSWERING;
            case ATTEMPT_STATE_ENDED -> AttemptReport.State.ENDED;
            case ATTEMPT_STATE_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException(
                        "invalid attempt state " + state + "; expected SENT, ANSWERING or ENDED");
        };
    }

    private static List<PrefixSegmentMessage> encodeSegments(List<PrefixSegment> segments) {
        List<PrefixSegmentMessage> messages = new ArrayList<>();
        for (PrefixSegment segment : segments) {
            messages.add(PrefixSegmentMessage.newBuilder()
                    .setId(segment.id())
                    .setTokens(segment.tokens())
                    .build());
        }
        return messages;
    }

    private static List<PrefixSegment> decodeSegments(List<PrefixSegmentMessage> messages) {
        return messages.stream()
                .map(message -> new PrefixSegment(message.getId(), message.getTokens()))
                .toList();
    }
}
