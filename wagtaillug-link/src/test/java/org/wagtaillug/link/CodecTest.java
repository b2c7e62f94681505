package org.wagtaillug.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.wagtaillug.contract.Body;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.BodyMessage;
import org.wagtaillug.link.generated.ChangeMessage;
import org.wagtaillug.link.generated.ClaimBatchMessage;
import org.wagtaillug.link.generated.ClaimRecordMessage;
import org.wagtaillug.link.generated.LogRecordMessage;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.message.PeerMessage;

class CodecTest {
    private static final int UNUSED_FIELD = 1000;
    private static final int UPSTREAMS = 16;
    private static final NodeId SENDER = new NodeId(new VmId("entry-12"), 1_796_000_000_000L);
    private static final VmId RECEIVER = new VmId("entry-7");
    private static final Instant TIME = Instant.parse("2026-12-01T06:00:00.123Z");

    private final LogRecordCodec records = new LogRecordCodec();
    private final PeerMessageCodec messages = new PeerMessageCodec();

    @Property(tries = 1000, seed = "4")
    void recordRoundTrips(@ForAll("anyRecord") LogRecord record) {
        assertThat(records.decode(records.encode(record))).isEqualTo(record);
    }

    @Property(tries = 1000, seed = "4")
    void messageRoundTrips(@ForAll("anyMessage") PeerMessage message, @ForAll("anyNode") NodeId sender) {
        PeerMessageCodec.Envelope envelope = new PeerMessageCodec.Envelope(sender, RECEIVER, message);

        assertThat(messages.decode(messages.encode(envelope)).get()).isEqualTo(envelope);
    }

    @Property(tries = 2000, seed = "4")
    void decodesAnyBytesWithoutAnException(@ForAll byte[] bytes) {
        assertThat(records.decode(bytes)).isNotNull();
        assertThat(messages.decode(bytes)).isNotNull();
    }

    /** Corrupted encodings of real records reach further into the decoder than random bytes. */
    @Property(tries = 2000, seed = "4")
    void decodesCorruptedBytesWithoutAnException(
            @ForAll("anyRecord") LogRecord record, @ForAll int offset, @ForAll byte value) {
        byte[] bytes = records.encode(record);
        if (bytes.length == 0) {
            return;
        }
        bytes[Math.floorMod(offset, bytes.length)] = value;

        assertThat(records.decode(bytes)).isNotNull();
        assertThat(records.decode(Arrays.copyOf(bytes, Math.floorMod(offset, bytes.length))))
                .isNotNull();
    }

    /**
     * Guards against old and new nodes disagreeing on which change won during an upgrade: if old nodes lost a body of
     * a kind unknown to them when they forwarded the state, they would differ. An old node must forward it unchanged.
     */
    @Test
    void forwardsABodyOfANewerVersionUnchanged() {
        UnknownFieldSet newer = UnknownFieldSet.newBuilder()
                .addField(
                        UNUSED_FIELD,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(ByteString.copyFromUtf8("a body"))
                                .build())
                .build();
        BodyMessage body = BodyMessage.newBuilder().setUnknownFields(newer).build();
        byte[] bytes = LogRecordMessage.newBuilder()
                .setChange(ChangeMessage.newBuilder()
                        .setKey("routing/all")
                        .setBody(body)
                        .setOperator("ops")
                        .setChangeId("c"))
                .build()
                .toByteArray();

        LogRecord read = records.decode(bytes);

        assertThat(((LogRecord.Change) read).body()).isInstanceOf(Body.Unknown.class);
        assertThat(records.encode(read)).isEqualTo(bytes);
    }

    /** A claim record of an unknown kind must not hide the others of its batch, or a claimed key would look free. */
    @Test
    void decodesABatchWithAClaimOfANewerVersion() {
        ClaimRecordMessage newer =
                ClaimRecordMessage.newBuilder().setKey("k").setClaimId("c0").build();
        ClaimRecord known = new ClaimRecord.Abandoned("k", "c1");
        ClaimBatchMessage batch = ClaimCodec.encode(new LogRecord.ClaimBatch(List.of(known))).toBuilder()
                .addClaims(0, newer)
                .build();
        byte[] bytes =
                LogRecordMessage.newBuilder().setClaimBatch(batch).build().toByteArray();

        assertThat(records.decode(bytes)).isEqualTo(new LogRecord.ClaimBatch(List.of(known)));
    }

    /** Messages that nodes exchange several times a second must stay small: 340 nodes, with 9 KB/s for each. */
    @Test
    void frequentMessagesAreSmall() {
        PeerMessage.Position position = new PeerMessage.Position(1_000_000, 0x123456789abcdefL);
        List<PeerMessage.GrantDemand> demands = new ArrayList<>();
        List<PeerMessage.GrantOffer> withoutReports = new ArrayList<>();
        List<PeerMessage.GrantOffer> withReports = new ArrayList<>();
        LoadReport report = new LoadReport(TIME, TIME, 7, 3, 8, Optional.of(new ModelId("menu-7b")), 3, 1_000_000);
        for (int index = 0; index < UPSTREAMS; index++) {
            VmId upstream = new VmId("himalchuli-engine-" + (10 + index));
            demands.add(new PeerMessage.GrantDemand(upstream, 4, 3, 1_000_000, true, Optional.of(TIME)));
            withoutReports.add(new PeerMessage.GrantOffer(upstream, 4, Duration.ofSeconds(2), true, Optional.empty()));
            withReports.add(new PeerMessage.GrantOffer(upstream, 4, Duration.ofSeconds(2), true, Optional.of(report)));
        }

        assertSize("Probe", new PeerMessage.Probe(1_000_000, position), 56);
        assertSize(
                "ProbeReply",
                new PeerMessage.ProbeReply(1_000_000, position, Optional.of(Duration.ofMillis(999)), true, true),
                64);
        assertSize("GrantAsk with 16 demands", new PeerMessage.GrantRequest(1_000_000, 1_000_000, demands), 850);
        assertSize("GrantReply with 16 offers", new PeerMessage.GrantReply(1_000_000, withoutReports), 640);
        assertSize("GrantReply with 16 reported offers", new PeerMessage.GrantReply(1_000_000, withReports), 1_500);
    }

    @Test
    void frequentRecordsAreSmall() {
        LogRecord change = new LogRecord.Change(
                "domain/pl-a",
                1_000_000,
                new Body.DomainService(new DomainId("pl-a"), true),
                new OperatorId("anjali"),
                "3f0c8a4e-6d0b-4b4f-9a55-0d3c1f0e7a11");
        LogRecord claimed = new LogRecord.ClaimBatch(List.of(new ClaimRecord.Claimed(
                "office-nord/3f0c8a4e-6d0b-4b4f-9a55-0d3c1f0e7a11",
                "entry-12#1796000000000/1000000",
                TIME,
                SENDER,
                "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef")));

        assertSize("Change of a domain", records.encode(change), 90);
        assertSize("Claimed", records.encode(claimed), 210);
    }

    private void assertSize(String name, PeerMessage message, int maxBytes) {
        assertSize(name, messages.encode(new PeerMessageCodec.Envelope(SENDER, RECEIVER, message)), maxBytes);
    }

    private static void assertSize(String name, byte[] bytes, int maxBytes) {
        System.out.println(name + ": " + bytes.length + " bytes");
        assertThat(bytes).as(name).hasSizeLessThanOrEqualTo(maxBytes);
    }

    @Provide
    Arbitrary<LogRecord> anyRecord() {
        return Samples.records();
    }

    @Provide
    Arbitrary<PeerMessage> anyMessage() {
        return Samples.messages();
    }

    @Provide
    Arbitrary<NodeId> anyNode() {
        return Samples.nodes();
    }
}
