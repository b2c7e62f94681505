package org.wagtaillug.link;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.OrderContext;
import org.wagtaillug.batch.QueueDelayEstimate;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.ContentionReportMessage;
import org.wagtaillug.link.generated.DepartureMessage;
import org.wagtaillug.link.generated.EnvelopeMessage;
import org.wagtaillug.link.generated.FeedAskMessage;
import org.wagtaillug.link.generated.FeedHelpMessage;
import org.wagtaillug.link.generated.FeedNameMessage;
import org.wagtaillug.link.generated.FeedRecordMessage;
import org.wagtaillug.link.generated.FeedUpdateMessage;
import org.wagtaillug.link.generated.HeartbeatMessage;
import org.wagtaillug.link.generated.NotMadeReasonMessage;
import org.wagtaillug.link.generated.PiecesAnsweredMessage;
import org.wagtaillug.link.generated.PiecesWantedMessage;
import org.wagtaillug.link.generated.PiecesWithdrawnMessage;
import org.wagtaillug.link.generated.PoolWaitMessage;
import org.wagtaillug.link.generated.RateLimitMessage;
import org.wagtaillug.link.generated.ReservationCancellationMessage;
import org.wagtaillug.link.generated.ResultsReleasedMessage;
import org.wagtaillug.link.generated.RolloutReportMessage;
import org.wagtaillug.link.generated.RolloutSampleMessage;
import org.wagtaillug.link.generated.StepResultMessage;
import org.wagtaillug.link.generated.StreamOriginMessage;
import org.wagtaillug.link.generated.StreamQueryMessage;
import org.wagtaillug.link.generated.StreamReplyMessage;
import org.wagtaillug.link.generated.StreamsBeganMessage;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.notice.DepartureReport;
import org.wagtaillug.notice.RateLimitReport;
import org.wagtaillug.quarantine.QuarantineReport;
import org.wagtaillug.rollout.RolloutSample;
import org.wagtaillug.stream.StreamOrigin;

/** Converts the messages of nodes that route by host and path to and from protobuf. */
final class ServingCodec {
    private ServingCodec() {}

    static void encode(ServingMessage message, EnvelopeMessage.Builder envelope) {
        if (message instanceof ServingMessage.Reply reply) {
            reply.recipient().ifPresent(run -> envelope.setReceiverIncarnation(run.incarnation()));
        }
        switch (message) {
            case ServingMessage.Heartbeat heartbeat -> envelope.setHeartbeat(encode(heartbeat));
            case ServingMessage.FeedRequest request ->
                envelope.setFeedAsk(FeedAskMessage.newBuilder()
                        .setFeed(encode(request.feed()))
                        .setFrom(request.from()));
            case ServingMessage.FeedCatchUp catchUp -> envelope.setFeedHelp(encode(catchUp));
            case ServingMessage.FeedUpdate update -> envelope.setFeedUpdate(encode(update));
            case ServingMessage.BatchRequest request -> envelope.setPiecesWanted(encode(request));
            case ServingMessage.BatchReply reply -> envelope.setPiecesAnswered(encode(reply));
            case ServingMessage.BatchCancellation cancellation ->
                envelope.setPiecesWithdrawn(PiecesWithdrawnMessage.newBuilder().setNumber(cancellation.number()));
            case ServingMessage.RolloutReport report -> envelope.setRolloutReport(encode(report));
            case ServingMessage.StreamsBegan began ->
                envelope.setStreamsBegan(
                        StreamsBeganMessage.newBuilder().addAllOrigins(encodeOrigins(began.origins())));
            case ServingMessage.StreamQuery query ->
                envelope.setStreamQuery(StreamQueryMessage.newBuilder().addAllStreams(encodeIds(query.streams())));
            case ServingMessage.StreamReply reply ->
                envelope.setStreamReply(StreamReplyMessage.newBuilder()
                        .addAllKnown(encodeOrigins(reply.known()))
                        .addAllUnknown(encodeIds(reply.unknown())));
            case ServingMessage.ResultsReleased released ->
                envelope.setResultsReleased(
                        ResultsReleasedMessage.newBuilder().addAllResults(encode(released.results())));
            case ServingMessage.ReservationRequest request ->
                envelope.setReservationRequest(ContentionCodec.encode(request));
            case ServingMessage.ReservationReply reply -> envelope.setReservationReply(ContentionCodec.encode(reply));
            case ServingMessage.ReservationCancellation cancellation ->
                envelope.setReservationCancellation(
                        ReservationCancellationMessage.newBuilder().addAllNumbers(cancellation.numbers()));
            case ServingMessage.AssignmentRequest request ->
                envelope.setAssignmentRequest(ContentionCodec.encode(request));
            case ServingMessage.AssignmentReply reply -> envelope.setAssignmentReply(ContentionCodec.encode(reply));
            case ServingMessage.AssignmentUpdate update -> envelope.setAssignmentUpdate(ContentionCodec.encode(update));
        }
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if a value is outside the range of its type
     */
    static ServingMessage decode(EnvelopeMessage envelope) {
        Optional<NodeId> recipient = envelope.hasReceiverIncarnation()
                ? Optional.of(new NodeId(new VmId(envelope.getReceiver()), envelope.getReceiverIncarnation()))
                : Optional.empty();
        return switch (envelope.getKindCase()) {
            case HEARTBEAT -> decode(envelope.getHeartbeat());
            case FEED_ASK ->
                new ServingMessage.FeedRequest(
                        decode(envelope.getFeedAsk().getFeed()),
                        envelope.getFeedAsk().getFrom());
            case FEED_HELP -> decode(envelope.getFeedHelp());
            case FEED_UPDATE -> decode(envelope.getFeedUpdate());
            case PIECES_WANTED -> decode(envelope.getPiecesWanted());
            case PIECES_ANSWERED -> decode(recipient, envelope.getPiecesAnswered());
            case PIECES_WITHDRAWN ->
                new ServingMessage.BatchCancellation(
                        envelope.getPiecesWithdrawn().getNumber());
            case RESULTS_RELEASED ->
                new ServingMessage.ResultsReleased(
                        decode(envelope.getResultsReleased().getResultsList()));
            case ROLLOUT_REPORT -> decode(envelope.getRolloutReport());
            case STREAMS_BEGAN ->
                new ServingMessage.StreamsBegan(
                        decodeOrigins(envelope.getStreamsBegan().getOriginsList()));
            case STREAM_QUERY ->
                new ServingMessage.StreamQuery(
                        decodeIds(envelope.getStreamQuery().getStreamsList()));
            case STREAM_REPLY ->
                new ServingMessage.StreamReply(
                        decodeOrigins(envelope.getStreamReply().getKnownList()),
                        decodeIds(envelope.getStreamReply().getUnknownList()));
            case RESERVATION_REQUEST -> ContentionCodec.decode(envelope.getReservationRequest());
            case RESERVATION_REPLY -> ContentionCodec.decode(recipient, envelope.getReservationReply());
            case RESERVATION_CANCELLATION ->
                new ServingMessage.ReservationCancellation(
                        envelope.getReservationCancellation().getNumbersList());
            case ASSIGNMENT_REQUEST -> ContentionCodec.decode(envelope.getAssignmentRequest());
            case ASSIGNMENT_REPLY -> ContentionCodec.decode(recipient, envelope.getAssignmentReply());
            case ASSIGNMENT_UPDATE -> ContentionCodec.decode(envelope.getAssignmentUpdate());
            default -> throw new IllegalArgumentException("not a serving message: " + envelope.getKindCase());
        };
    }

    private static HeartbeatMessage encode(ServingMessage.Heartbeat heartbeat) {
        HeartbeatMessage.Builder message = HeartbeatMessage.newBuilder()
                .setReply(heartbeat.reply())
                .setServing(heartbeat.serving())
                .setFollows(heartbeat.follows())
                .setStoreLost(heartbeat.storeLost())
                .setConfigurationPosition(heartbeat.positions().getOrDefault(FeedName.CONFIGURATION, 0L))
                .setDirectoryPosition(heartbeat.positions().getOrDefault(FeedName.DIRECTORY, 0L))
                .setMembershipPosition(heartbeat.positions().getOrDefault(FeedName.MEMBERSHIP, 0L))
                .setRolloutsPosition(heartbeat.positions().getOrDefault(FeedName.ROLLOUTS, 0L));
        heartbeat
                .waits()
                .forEach(wait -> message.addWaits(PoolWaitMessage.newBuilder()
                        .setPool(wait.pool().value())
                        .setRank(wait.rank())
                        .setWait(TimeCodec.encode(wait.expected()))));
        heartbeat.rateLimits().forEach(report -> message.addRateLimits(encode(report)));
        heartbeat
                .departures()
                .forEach(report -> message.addDepartures(DepartureMessage.newBuilder()
                        .setUpstream(report.upstream().value())
                        .setLatestStartMillis(report.latestStart())
                        .setAgeMillis(report.age().toMillis())));
        heartbeat.paths().unreachable().forEach(pool -> message.addUnreachablePools(pool.value()));
        if (heartbeat.contention().supported()) {
            message.setContention(ContentionReportMessage.newBuilder()
                    .setAnnounced(heartbeat.contention().announced()));
        }
        return message.setAcceptsTunnels(heartbeat.paths().acceptsTunnels())
                .setStoresStreamOrigins(heartbeat.storesStreamOrigins())
                .setQuarantine(QuarantineCodec.encode(heartbeat.quarantine()))
                .build();
    }

    private static List<StreamOriginMessage> encodeOrigins(List<StreamOrigin> origins) {
        List<StreamOriginMessage> messages = new ArrayList<>();
        for (StreamOrigin origin : origins) {
            StreamOriginMessage.Builder message = StreamOriginMessage.newBuilder()
                    .setStream(origin.stream().value())
                    .setPool(origin.pool().value())
                    .setVersion(origin.version().value())
                    .setLifetimeMillis(origin.lifetime().toMillis());
            origin.sender()
                    .ifPresent(sender -> message.setUpstream(sender.upstream().value())
                            .setIncarnation(sender.incarnation())
                            .setAgeMillis(sender.age().toMillis()));
            messages.add(message.build());
        }
        return messages;
    }

    private static List<StreamOrigin> decodeOrigins(List<StreamOriginMessage> messages) {
        List<StreamOrigin> origins = new ArrayList<>();
        for (StreamOriginMessage message : messages) {
            origins.add(new StreamOrigin(
                    new RequestId(message.getStream()),
                    new PoolId(message.getPool()),
                    new VersionKey(message.getVersion()),
                    decodeSender(message),
                    Duration.ofMillis(message.getLifetimeMillis())));
        }
        return origins;
    }

    private static Optional<StreamOrigin.Sender> decodeSender(StreamOriginMessage message) {
        return message.hasUpstream()
                ? Optional.of(new StreamOrigin.Sender(
                        new VmId(message.getUpstream()),
                        message.getIncarnation(),
                        Duration.ofMillis(message.getAgeMillis())))
                : Optional.empty();
    }

    private static List<String> encodeIds(List<RequestId> ids) {
        return ids.stream().map(RequestId::value).toList();
    }

    private static List<RequestId> decodeIds(List<String> ids) {
        return ids.stream().map(RequestId::new).toList();
    }

    private static RateLimitMessage encode(RateLimitReport report) {
        RateLimitMessage.Builder message = RateLimitMessage.newBuilder()
                .setUpstream(report.upstream().value())
                .setAgeMillis(report.age().toMillis());
        report.requestsPerSecond().ifPresent(message::setRequestsPerSecond);
        return message.build();
    }

    private static RateLimitReport decode(RateLimitMessage message) {
        OptionalDouble limit = message.hasRequestsPerSecond()
                ? OptionalDouble.of(message.getRequestsPerSecond())
                : OptionalDouble.empty();
        return new RateLimitReport(new VmId(message.getUpstream()), limit, Duration.ofMillis(message.getAgeMillis()));
    }

    private static ServingMessage.Heartbeat decode(HeartbeatMessage message) {
        Map<FeedName, Long> positions = Map.of(
                FeedName.CONFIGURATION, message.getConfigurationPosition(),
                FeedName.DIRECTORY, message.getDirectoryPosition(),
                FeedName.MEMBERSHIP, message.getMembershipPosition(),
                FeedName.ROLLOUTS, message.getRolloutsPosition());
        List<QueueDelayEstimate> waits = new ArrayList<>();
        for (PoolWaitMessage wait : message.getWaitsList()) {
            waits.add(new QueueDelayEstimate(
                    new PoolId(wait.getPool()), wait.getRank(), TimeCodec.decode(wait.getWait())));
        }
        List<RateLimitReport> rateLimits = new ArrayList<>();
        message.getRateLimitsList().forEach(limit -> rateLimits.add(decode(limit)));
        List<DepartureReport> departures = new ArrayList<>();
        for (DepartureMessage departure : message.getDeparturesList()) {
            departures.add(new DepartureReport(
                    new VmId(departure.getUpstream()),
                    departure.getLatestStartMillis(),
                    Duration.ofMillis(departure.getAgeMillis())));
        }
        return new ServingMessage.Heartbeat(
                message.getReply(),
                message.getServing(),
                message.getFollows(),
                message.getStoreLost(),
                positions,
                waits,
                rateLimits,
                departures,
                decodePaths(message),
                message.getStoresStreamOrigins(),
                message.hasQuarantine()
                        ? QuarantineCodec.decode(message.getQuarantine())
                        : QuarantineReport.UNSUPPORTED,
                message.hasContention()
                        ? new ContentionReport(true, message.getContention().getAnnounced())
                        : ContentionReport.UNSUPPORTED);
    }

    private static ServingMessage.Paths decodePaths(HeartbeatMessage message) {
        Set<PoolId> unreachable = new HashSet<>();
        message.getUnreachablePoolsList().forEach(pool -> unreachable.add(new PoolId(pool)));
        return new ServingMessage.Paths(unreachable, message.getAcceptsTunnels());
    }

    private static RolloutReportMessage encode(ServingMessage.RolloutReport report) {
        RolloutReportMessage.Builder message = RolloutReportMessage.newBuilder().setOrder(report.order());
        for (RolloutSample sample : report.samples()) {
            message.addSamples(RolloutSampleMessage.newBuilder()
                    .setKind(sample.kind())
                    .setCandidate(sample.candidate())
                    .setFailed(sample.failed())
                    .setTookMillis(sample.took().toMillis()));
        }
        return message.build();
    }

    private static ServingMessage.RolloutReport decode(RolloutReportMessage message) {
        List<RolloutSample> samples = new ArrayList<>();
        for (RolloutSampleMessage sample : message.getSamplesList()) {
            samples.add(new RolloutSample(
                    sample.getKind(),
                    sample.getCandidate(),
                    sample.getFailed(),
                    Duration.ofMillis(sample.getTookMillis())));
        }
        return new ServingMessage.RolloutReport(message.getOrder(), samples);
    }

    private static FeedNameMessage encode(FeedName name) {
        return switch (name) {
            case CONFIGURATION -> FeedNameMessage.FEED_NAME_CONFIGURATION;
            case DIRECTORY -> FeedNameMessage.FEED_NAME_DIRECTORY;
            case MEMBERSHIP -> FeedNameMessage.FEED_NAME_MEMBERSHIP;
            case ROLLOUTS -> FeedNameMessage.FEED_NAME_ROLLOUTS;
            case STREAMS -> FeedNameMessage.FEED_NAME_STREAMS;
            case QUARANTINE -> FeedNameMessage.FEED_NAME_QUARANTINE;
            case POOL_VERSIONS -> FeedNameMessage.FEED_NAME_POOL_VERSIONS;
        };
    }

    private static FeedName decode(FeedNameMessage name) {
        return switch (name) {
            case FEED_NAME_CONFIGURATION -> FeedName.CONFIGURATION;
            case FEED_NAME_DIRECTORY -> FeedName.DIRECTORY;
            case FEED_NAME_MEMBERSHIP -> FeedName.MEMBERSHIP;
            case FEED_NAME_ROLLOUTS -> FeedName.ROLLOUTS;
            case FEED_NAME_STREAMS -> FeedName.STREAMS;
            case FEED_NAME_QUARANTINE -> FeedName.QUARANTINE;
            case FEED_NAME_POOL_VERSIONS -> FeedName.POOL_VERSIONS;
            case FEED_NAME_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException("invalid feed " + name
                        + "; expected CONFIGURATION, DIRECTORY, MEMBERSHIP, ROLLOUTS, STREAMS, QUARANTINE or"
                        + " POOL_VERSIONS");
        };
    }

    private static FeedHelpMessage encode(ServingMessage.FeedCatchUp catchUp) {
        return FeedHelpMessage.newBuilder()
                .setFeed(encode(catchUp.feed()))
                .setNext(catchUp.batch().next())
                .setWhole(catchUp.batch().complete())
                .addAllRecords(encodeRecords(catchUp.batch().records()))
                .build();
    }

    private static ServingMessage.FeedCatchUp decode(FeedHelpMessage message) {
        FeedBatch batch = new FeedBatch(message.getNext(), message.getWhole(), decodeRecords(message.getRecordsList()));
        return new ServingMessage.FeedCatchUp(decode(message.getFeed()), batch);
    }

    private static FeedUpdateMessage encode(ServingMessage.FeedUpdate update) {
        return FeedUpdateMessage.newBuilder()
                .setFeed(encode(update.feed()))
                .setFrom(update.from())
                .setNext(update.batch().next())
                .setStoreUnstable(update.storeUnstable())
                .addAllRecords(encodeRecords(update.batch().records()))
                .build();
    }

    private static ServingMessage.FeedUpdate decode(FeedUpdateMessage message) {
        FeedBatch batch = new FeedBatch(message.getNext(), false, decodeRecords(message.getRecordsList()));
        return new ServingMessage.FeedUpdate(
                decode(message.getFeed()), message.getFrom(), batch, message.getStoreUnstable());
    }

    private static List<FeedRecordMessage> encodeRecords(List<FeedRecord> records) {
        List<FeedRecordMessage> messages = new ArrayList<>();
        for (FeedRecord record : records) {
            FeedRecordMessage.Builder encoded =
                    FeedRecordMessage.newBuilder().setKey(record.key()).setOffset(record.offset());
            record.value().ifPresent(value -> encoded.setValue(ByteString.copyFrom(value)));
            messages.add(encoded.build());
        }
        return messages;
    }

    private static List<FeedRecord> decodeRecords(List<FeedRecordMessage> messages) {
        List<FeedRecord> records = new ArrayList<>();
        for (FeedRecordMessage record : messages) {
            Optional<byte[]> value =
                    record.hasValue() ? Optional.of(record.getValue().toByteArray()) : Optional.empty();
            records.add(new FeedRecord(record.getKey(), record.getOffset(), value));
        }
        return records;
    }

    private static PiecesWantedMessage encode(ServingMessage.BatchRequest request) {
        PiecesWantedMessage.Builder message = PiecesWantedMessage.newBuilder()
                .setNumber(request.number())
                .setRequest(request.request().value())
                .setStep(request.step())
                .setPool(request.pool().value())
                .setPieces(request.items())
                .addAllInputs(request.inputs())
                .setResultBytes(request.resultBytes())
                .setRank(request.rank())
                .setAimLeft(request.targetTimeLeft().toMillis())
                .setDeadlineLeft(request.deadlineLeft().toMillis());
        request.key().ifPresent(message::setKey);
        request.inputsDomain().ifPresent(domain -> message.setNear(domain.value()));
        if (!request.context().equals(OrderContext.NONE)) {
            message.setContext(ContentionCodec.encode(request.context()));
        }
        return message.build();
    }

    private static ServingMessage.BatchRequest decode(PiecesWantedMessage message) {
        return new ServingMessage.BatchRequest(
                message.getNumber(),
                new RequestId(message.getRequest()),
                message.getStep(),
                new PoolId(message.getPool()),
                message.getPieces(),
                message.hasKey() ? Optional.of(message.getKey()) : Optional.empty(),
                message.getInputsList(),
                message.getResultBytes(),
                message.hasNear() ? Optional.of(new DomainId(message.getNear())) : Optional.empty(),
                message.getRank(),
                Duration.ofMillis(message.getAimLeft()),
                Duration.ofMillis(message.getDeadlineLeft()),
                message.hasContext() ? ContentionCodec.decode(message.getContext()) : OrderContext.NONE);
    }

    private static PiecesAnsweredMessage encode(ServingMessage.BatchReply reply) {
        PiecesAnsweredMessage.Builder message =
                PiecesAnsweredMessage.newBuilder().setNumber(reply.number());
        switch (reply.outcome()) {
            case BatchOutcome.Made made -> message.addAllResults(encode(made.results()));
            case BatchOutcome.NotMade notMade ->
                message.setNotMade(encode(notMade.reason()))
                        .setRetryAfter(notMade.retryAfter().toMillis());
        }
        reply.callDuration().ifPresent(duration -> message.setCallDurationMillis(duration.toMillis()));
        return message.build();
    }

    private static ServingMessage.BatchReply decode(Optional<NodeId> recipient, PiecesAnsweredMessage message) {
        BatchOutcome outcome = message.getNotMade() == NotMadeReasonMessage.NOT_MADE_UNSPECIFIED
                ? new BatchOutcome.Made(decode(message.getResultsList()))
                : new BatchOutcome.NotMade(decode(message.getNotMade()), Duration.ofMillis(message.getRetryAfter()));
        Optional<Duration> callDuration = message.hasCallDurationMillis()
                ? Optional.of(Duration.ofMillis(message.getCallDurationMillis()))
                : Optional.empty();
        return new ServingMessage.BatchReply(recipient, message.getNumber(), outcome, callDuration);
    }

    private static NotMadeReasonMessage encode(BatchOutcome.Reason reason) {
        return switch (reason) {
            case OVERLOADED -> NotMadeReasonMessage.NOT_MADE_OVERLOADED;
            case LATE -> NotMadeReasonMessage.NOT_MADE_LATE;
            case INPUTS_GONE -> NotMadeReasonMessage.NOT_MADE_INPUTS_GONE;
            case FAILED -> NotMadeReasonMessage.NOT_MADE_FAILED;
            case NO_UPSTREAM -> NotMadeReasonMessage.NOT_MADE_NO_UPSTREAM;
        };
    }

    private static BatchOutcome.Reason decode(NotMadeReasonMessage reason) {
        return switch (reason) {
            case NOT_MADE_OVERLOADED -> BatchOutcome.Reason.OVERLOADED;
            case NOT_MADE_LATE -> BatchOutcome.Reason.LATE;
            case NOT_MADE_INPUTS_GONE -> BatchOutcome.Reason.INPUTS_GONE;
            case NOT_MADE_NO_UPSTREAM -> BatchOutcome.Reason.NO_UPSTREAM;
            // A newer program version may send a reason unknown here; the pieces failed in any case.
            case NOT_MADE_FAILED, NOT_MADE_UNSPECIFIED, UNRECOGNIZED -> BatchOutcome.Reason.FAILED;
        };
    }

    private static List<StepResultMessage> encode(List<StepResult> results) {
        List<StepResultMessage> messages = new ArrayList<>();
        for (StepResult result : results) {
            messages.add(StepResultMessage.newBuilder()
                    .setHandle(result.handle())
                    .setMaker(result.server().value())
                    .build());
        }
        return messages;
    }

    private static List<StepResult> decode(List<StepResultMessage> messages) {
        List<StepResult> results = new ArrayList<>();
        for (StepResultMessage message : messages) {
            results.add(new StepResult(message.getHandle(), new VmId(message.getMaker())));
        }
        return results;
    }
}
