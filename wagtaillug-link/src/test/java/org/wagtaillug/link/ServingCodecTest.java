package org.wagtaillug.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.OrderContext;
import org.wagtaillug.batch.QueueDelayEstimate;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.SegmentId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.notice.DepartureReport;
import org.wagtaillug.notice.RateLimitReport;
import org.wagtaillug.quarantine.CompletionReport;
import org.wagtaillug.quarantine.CrashReport;
import org.wagtaillug.quarantine.QuarantineEntry;
import org.wagtaillug.quarantine.QuarantineReport;
import org.wagtaillug.quarantine.UpstreamRun;
import org.wagtaillug.routing.PrefixSegment;
import org.wagtaillug.stream.StreamOrigin;

class ServingCodecTest {
    private static final StreamOrigin ORIGIN = new StreamOrigin(
            new RequestId("r-1"),
            new PoolId("model"),
            VersionKey.of("v1"),
            Optional.of(new StreamOrigin.Sender(new VmId("i-4"), 1_790_000_000_000L, Duration.ofMillis(300))),
            Duration.ofSeconds(9));
    private static final StreamOrigin UNSENT = new StreamOrigin(
            new RequestId("r-3"), new PoolId("model"), VersionKey.of(""), Optional.empty(), Duration.ofSeconds(2));
    private static final OrderContext CONTEXT =
            new OrderContext(Optional.of(new CustomerId("bozi")), Optional.of(new SegmentId("content:5c1e")), 2);
    private static final Optional<NodeId> RECIPIENT =
            Optional.of(new NodeId(new VmId("10.1.0.42"), 1_790_000_000_000L));
    private static final StepResult RESULT = new StepResult("10.1.64.7:8080/91bd", new VmId("i-1"));

    static List<ServingMessage> messages() {
        return List.of(
                new ServingMessage.Heartbeat(
                        true,
                        false,
                        true,
                        true,
                        Map.of(
                                FeedName.CONFIGURATION,
                                7L,
                                FeedName.DIRECTORY,
                                900L,
                                FeedName.MEMBERSHIP,
                                3L,
                                FeedName.ROLLOUTS,
                                4L),
                        List.of(new QueueDelayEstimate(new PoolId("encode"), 2, Duration.ofMillis(350))),
                        List.of(
                                new RateLimitReport(new VmId("i-1"), OptionalDouble.of(0), Duration.ofMillis(40)),
                                new RateLimitReport(new VmId("i-2"), OptionalDouble.empty(), Duration.ZERO)),
                        List.of(new DepartureReport(new VmId("i-3"), 1_790_000_000_000L, Duration.ofSeconds(2))),
                        new ServingMessage.Paths(Set.of(new PoolId("encode"), new PoolId("model")), true),
                        true,
                        new QuarantineReport(
                                true,
                                List.of(new QuarantineEntry(
                                        Set.of(new SegmentId("5c1e"), new SegmentId("91bd")),
                                        3,
                                        true,
                                        4,
                                        1,
                                        Duration.ofSeconds(9))),
                                List.of(new CrashReport(
                                        new UpstreamRun(new VmId("i-1"), 1_790_000_000_000L),
                                        Set.of(new SegmentId("5c1e")),
                                        Duration.ofMillis(70))),
                                List.of(new CompletionReport(
                                        new SegmentId("e440"),
                                        new UpstreamRun(new VmId("i-2"), 7),
                                        Duration.ofMillis(20)))),
                        new ContentionReport(true, true)),
                new ServingMessage.StreamsBegan(List.of(ORIGIN, UNSENT)),
                new ServingMessage.StreamQuery(List.of(new RequestId("r-1"), new RequestId("r-2"))),
                new ServingMessage.StreamReply(List.of(ORIGIN), List.of(new RequestId("r-2"))),
                new ServingMessage.FeedUpdate(
                        FeedName.MEMBERSHIP,
                        4,
                        new FeedBatch(9, false, List.of(new FeedRecord("a", 8, Optional.empty()))),
                        true),
                new ServingMessage.FeedRequest(FeedName.DIRECTORY, 12),
                new ServingMessage.FeedCatchUp(
                        FeedName.CONFIGURATION,
                        new FeedBatch(9, true, List.of(new FeedRecord("gone", 8, Optional.empty())))),
                new ServingMessage.BatchRequest(
                        4,
                        new RequestId("r"),
                        2,
                        new PoolId("encode"),
                        16,
                        Optional.of("key"),
                        List.of("h1", "h2"),
                        60_000,
                        Optional.of(new DomainId("north")),
                        3,
                        Duration.ofMillis(-20),
                        Duration.ofMillis(900),
                        CONTEXT),
                new ServingMessage.BatchReply(RECIPIENT, 4, new BatchOutcome.Made(List.of(RESULT)), Optional.empty()),
                new ServingMessage.BatchReply(
                        Optional.empty(),
                        4,
                        new BatchOutcome.NotMade(BatchOutcome.Reason.OVERLOADED, Duration.ofMillis(300)),
                        Optional.of(Duration.ofMillis(340))),
                new ServingMessage.BatchCancellation(4),
                new ServingMessage.ResultsReleased(List.of(RESULT)));
    }

    static List<ServingMessage> contentionMessages() {
        return List.of(
                new ServingMessage.ReservationRequest(
                        5,
                        new RequestId("r"),
                        3,
                        new PoolId("rerank"),
                        16,
                        6_000,
                        1,
                        Duration.ofMillis(400),
                        Duration.ofMillis(-5),
                        Duration.ofMillis(2_000),
                        CONTEXT),
                new ServingMessage.ReservationReply(RECIPIENT, 5, false, Duration.ofMillis(700), Optional.empty()),
                new ServingMessage.ReservationReply(
                        Optional.empty(), 6, true, Duration.ZERO, Optional.of(Duration.ofMillis(340))),
                new ServingMessage.ReservationCancellation(List.of(5L, 6L)),
                new ServingMessage.AssignmentRequest(
                        7,
                        new RequestId("r"),
                        new PoolId("model"),
                        List.of(new PrefixSegment("5c1e", 2_500), new PrefixSegment("91bd", 3_800)),
                        9_100,
                        80,
                        2,
                        Optional.of(new DomainId("north")),
                        3_000_000,
                        Set.of(new VmId("i-4")),
                        Duration.ofSeconds(4)),
                new ServingMessage.AssignmentReply(RECIPIENT, 7, List.of(new VmId("i-1"), new VmId("i-2"))),
                new ServingMessage.AssignmentUpdate(
                        new PoolId("model"),
                        List.of(
                                new AttemptReport(
                                        new RequestId("r"),
                                        1,
                                        new VmId("i-1"),
                                        AttemptReport.State.SENT,
                                        List.of(new PrefixSegment("5c1e", 2_500)),
                                        9_100,
                                        80,
                                        Duration.ofSeconds(4),
                                        Optional.empty()),
                                new AttemptReport(
                                        new RequestId("r"),
                                        1,
                                        new VmId("i-1"),
                                        AttemptReport.State.ANSWERING,
                                        List.of(),
                                        0,
                                        0,
                                        Duration.ZERO,
                                        Optional.of(new ServerLoad(12, 3, 32, 2.5))))));
    }

    @ParameterizedTest
    @MethodSource({"messages", "contentionMessages"})
    void messageRoundTrips(ServingMessage message) {
        PeerMessageCodec codec = new PeerMessageCodec();
        NodeId sender = new NodeId(new VmId("10.1.0.41"), 5);
        byte[] bytes = codec.encode(new PeerMessageCodec.Envelope(sender, new VmId("10.1.0.42"), message));
        assertThat(codec.decode(bytes).get().message()).isEqualTo(message);
    }
}
