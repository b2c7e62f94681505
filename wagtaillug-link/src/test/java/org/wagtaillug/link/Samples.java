package org.wagtaillug.link;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.StageId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Generators of arbitrary records and messages. */
final class Samples {
    private static final Arbitrary<String> NAMES = Arbitraries.strings()
            .withChars("abc-é漢 ")
            .ofMinLength(1)
            .ofMaxLength(20)
            .map(text -> "n" + text);
    private static final Arbitrary<Long> LONGS = Arbitraries.longs();
    private static final Arbitrary<Integer> INTS = Arbitraries.integers();
    private static final Arbitrary<Boolean> BOOLEANS = Arbitraries.of(true, false);
    private static final Arbitrary<Double> DOUBLES = Arbitraries.doubles();
    private static final Arbitrary<VmId> VMS = NAMES.map(VmId::new);
    private static final Arbitrary<NodeId> NODES =
            Combinators.combine(VMS, LONGS).as(NodeId::new);
    private static final Arbitrary<Duration> DURATIONS = Combinators.combine(
                    Arbitraries.longs().between(-9_999, 9_999_999),
                    Arbitraries.integers().between(0, 999_999_999))
            .as(Duration::ofSeconds);
    private static final Arbitrary<Instant> INSTANTS = DURATIONS.map(Instant.EPOCH::plus);
    private static final Arbitrary<Payload> PAYLOADS =
            Arbitraries.bytes().array(byte[].class).ofMaxSize(50).map(Payload::wrap);
    private static final Arbitrary<LogRecord.NodeAddress> ADDRESSES =
            Combinators.combine(NAMES, INTS, NAMES.map(DomainId::new)).as(LogRecord.NodeAddress::new);
    private static final Arbitrary<LogRecord.StateMember> MEMBERS =
            Combinators.combine(NODES, LONGS, ADDRESSES).as(LogRecord.StateMember::new);
    private static final Arbitrary<LoadReport> REPORTS = Combinators.combine(
                    INSTANTS, INSTANTS, INTS, INTS, INTS, optional(NAMES.map(ModelId::new)), INTS, LONGS)
            .as(LoadReport::new);

    private Samples() {}

    static Arbitrary<LogRecord> records() {
        Arbitrary<LogRecord> changes = Combinators.combine(NAMES, LONGS, bodies(), NAMES.map(OperatorId::new), NAMES)
                .as(LogRecord.Change::new);
        Arbitrary<LogRecord> rosterChanges = Combinators.combine(
                        Arbitraries.of(LogRecord.RosterChangeKind.class), NODES, NODES, optional(ADDRESSES))
                .as(LogRecord.RosterChange::new);
        Arbitrary<LogRecord> parts = Combinators.combine(
                        NAMES,
                        LONGS,
                        INTS,
                        INTS,
                        entries().list().ofMaxSize(3),
                        MEMBERS.list().ofMaxSize(3))
                .as(LogRecord.SnapshotPart::new);
        Arbitrary<LogRecord> batches = claims().list().ofMaxSize(5).map(LogRecord.ClaimBatch::new);
        return Arbitraries.oneOf(changes, rosterChanges, parts, batches);
    }

    static Arbitrary<PeerMessage> messages() {
        Arbitrary<PeerMessage.Position> positions =
                Combinators.combine(LONGS, LONGS).as(PeerMessage.Position::new);
        Arbitrary<PeerMessage> probes = Combinators.combine(LONGS, positions).as(PeerMessage.Probe::new);
        Arbitrary<PeerMessage> replies = Combinators.combine(LONGS, positions, optional(DURATIONS), BOOLEANS, BOOLEANS)
                .as(PeerMessage.ProbeReply::new);
        Arbitrary<PeerMessage> states = Combinators.combine(
                        LONGS, entries().list().ofMaxSize(3), MEMBERS.list().ofMaxSize(3))
                .as(PeerMessage.StateReply::new);
        Arbitrary<PeerMessage.GrantDemand> demands = Combinators.combine(
                        VMS, INTS, INTS, LONGS, BOOLEANS, optional(INSTANTS))
                .as(PeerMessage.GrantDemand::new);
        Arbitrary<PeerMessage> asks =
                Combinators.combine(LONGS, LONGS, demands.list().ofMaxSize(4)).as(PeerMessage.GrantRequest::new);
        Arbitrary<PeerMessage.GrantOffer> offers = Combinators.combine(
                        VMS, INTS, DURATIONS, BOOLEANS, optional(REPORTS))
                .as(PeerMessage.GrantOffer::new);
        Arbitrary<PeerMessage> grants =
                Combinators.combine(LONGS, offers.list().ofMaxSize(4)).as(PeerMessage.GrantReply::new);
        return Arbitraries.oneOf(
                probes, replies, Arbitraries.just(new PeerMessage.StateRequest()), states, asks, grants);
    }

    static Arbitrary<NodeId> nodes() {
        return NODES;
    }

    private static Arbitrary<LogRecord.StateEntry> entries() {
        return Combinators.combine(NAMES, LONGS, bodies()).as(LogRecord.StateEntry::new);
    }

    private static Arbitrary<Body> bodies() {
        Arbitrary<Stage> stages = Combinators.combine(
                        NAMES.map(StageId::new),
                        NAMES.map(PoolId::new),
                        Arbitraries.of(StageWork.class),
                        NAMES,
                        optional(NAMES.map(ModelId::new)),
                        INTS,
                        BOOLEANS,
                        DURATIONS)
                .as(Stage::new);
        Arbitrary<Body> templates = Combinators.combine(
                        NAMES.map(TemplateId::new), stages.list().ofMaxSize(4), DURATIONS, BOOLEANS, DOUBLES)
                .as(Template::new);
        Arbitrary<CustomerContract.Parameters> parameters = Combinators.combine(
                        optional(DURATIONS), optional(DOUBLES), optional(BOOLEANS))
                .as(CustomerContract.Parameters::new);
        Arbitrary<Body> customers = Combinators.combine(
                        NAMES.map(CustomerId::new),
                        DOUBLES,
                        Arbitraries.maps(NAMES.map(TemplateId::new), parameters).ofMaxSize(3))
                .as(CustomerContract::new);
        Arbitrary<Body> pools = Combinators.combine(NAMES.map(PoolId::new), INTS, INTS, INTS, BOOLEANS, BOOLEANS)
                .as(PoolContract::new);
        Arbitrary<Body> placements = Combinators.combine(NAMES.map(ModelId::new), INTS, NAMES.map(PoolId::new), INTS)
                .as(PlacementContract::new);
        Arbitrary<Body> domains =
                Combinators.combine(NAMES.map(DomainId::new), BOOLEANS).as(Body.DomainService::new);
        Arbitrary<Body> vms = Combinators.combine(VMS, BOOLEANS).as(Body.VmService::new);
        Arbitrary<Body> unknown = Combinators.combine(NAMES, NAMES).as(Body.Unknown::new);
        return Arbitraries.oneOf(
                templates, customers, pools, placements, domains, vms, unknown, Arbitraries.just(new Body.Removed()));
    }

    private static Arbitrary<ClaimRecord> claims() {
        Arbitrary<ClaimRecord> claimed =
                Combinators.combine(NAMES, NAMES, INSTANTS, NODES, NAMES).as(ClaimRecord.Claimed::new);
        Arbitrary<ClaimRecord> settled = Combinators.combine(
                        NAMES, NAMES, Arbitraries.of(ResultCode.class), Arbitraries.of(RunState.class), PAYLOADS)
                .as(ClaimRecord.Settled::new);
        Arbitrary<ClaimRecord> abandoned = Combinators.combine(NAMES, NAMES).as(ClaimRecord.Abandoned::new);
        return Arbitraries.oneOf(claimed, settled, abandoned);
    }

    private static <T> Arbitrary<Optional<T>> optional(Arbitrary<T> values) {
        return values.optional();
    }
}
