package org.wagtaillug.serving;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.SegmentId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.quarantine.Quarantine;
import org.wagtaillug.quarantine.QuarantineEntry;
import org.wagtaillug.quarantine.QuarantineRecord;
import org.wagtaillug.quarantine.QuarantineReport;
import org.wagtaillug.quarantine.UpstreamRun;
import org.wagtaillug.result.ResultCode;

/**
 * Keeps prompts that crash upstreams away from them, together with all nodes.
 *
 * <p>Each node reports the crashes that it sees to a few nodes, the deciders, in its heartbeats and at once. A decider that
 * quarantines prompts tells all nodes, and one of them writes it to the store, from which the deciders read it after many nodes
 * have failed together. A node without contact to others decides for itself.
 */
final class QuarantineExchange {
    /** The number of nodes that decide. */
    static final int DECIDERS = 3;

    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

    private static final Duration WRITE_RETRY_INTERVAL = Duration.ofMillis(500);

    private final VmId self;
    private final Peers peers;
    private final BooleanSupplier acceptsWork;
    private final Consumer<ServingEffect> effects;
    private final Quarantine quarantine;
    private final Map<String, QuarantineEntry> writes = new HashMap<>();
    private final Map<String, Set<SegmentId>> recordKeys = new HashMap<>();
    private Instant readDue = Instant.EPOCH;
    private Instant writeDue = Instant.EPOCH;
    private boolean reportDue;
    private boolean announcementDue;
    private boolean changed;

    QuarantineExchange(ServingSetup setup, Peers peers, BooleanSupplier acceptsWork, Consumer<ServingEffect> effects) {
        this.self = setup.self().vm();
        this.peers = peers;
        this.acceptsWork = acceptsWork;
        this.effects = effects;
        this.quarantine = new Quarantine(setup.self());
    }

    /** What this node reports to others. */
    QuarantineReport report(Instant now) {
        return quarantine.report(now);
    }

    /** Whether a request must not be sent to any upstream. */
    boolean concerns(Flow flow, Instant now) {
        return !flow.trial() && find(flow.request(), now).isPresent();
    }

    private Optional<QuarantineEntry> find(RoutedRequest request, Instant now) {
        return quarantine.any() ? quarantine.find(request.crashSuspects(), now) : Optional.empty();
    }

    /** Why a request must not be sent to any upstream; empty if it may, perhaps as a trial. */
    Optional<Obstacle> obstacle(Flow flow, Instant now) {
        if (flow.trial()) {
            return Optional.empty();
        }
        Optional<QuarantineEntry> entry = find(flow.request(), now);
        if (entry.isPresent() && flow.attempts() == 0 && tryTrial(flow.request(), entry.get(), now)) {
            flow.startTrial();
            return Optional.empty();
        }
        return entry.map(QuarantineExchange::obstacle);
    }

    /**
     * Why a request must not be sent to any upstream.
     *
     * @param code the result code for its caller
     * @param message what was seen, and since when
     */
    record Obstacle(ResultCode code, String message) {}

    private static Obstacle obstacle(QuarantineEntry entry) {
        String crashes =
                entry.crashes() + " upstreams have crashed since " + entry.age().toSeconds() + " s under ";
        return entry.ofContent()
                ? new Obstacle(
                        ResultCode.REQUEST_QUARANTINED,
                        crashes + "tries of the same request, " + entry.segments() + "; it is not sent")
                : new Obstacle(
                        ResultCode.PROMPT_QUARANTINED,
                        crashes + "prompts with segments " + entry.segments() + "; such prompts are not sent");
    }

    /** Whether this node may send a request under quarantine, to find out whether such requests still crash upstreams. */
    private boolean tryTrial(RoutedRequest request, QuarantineEntry entry, Instant now) {
        if (!holdsTrials(now) || !quarantine.tryTrial(request.crashSuspects(), now)) {
            return false;
        }
        announcementDue = true;
        log(Decision.builder("quarantine_trial").field("request", request.id()).field("segments", entry.segments()));
        return true;
    }

    /** Whether trials are up to this node. Of the nodes that hear of no other one, they are up to one at most. */
    private boolean holdsTrials(Instant now) {
        if (alone(now)) {
            return peers.firstCandidate(PeerMembership.QUARANTINE_DUTY).equals(self);
        }
        return peers.dutyHolder(PeerMembership.QUARANTINE_DUTY, acceptsWork.getAsBoolean(), now)
                .equals(self);
    }

    /** Whether the shared segments of a request may be what crashes upstreams: not all were completed recently. */
    boolean mayCrash(RoutedRequest request, Instant now) {
        return !quarantine.completedRecently(request.sharedSegmentIds(), now);
    }

    /** The number of upstreams that have crashed under a request as far as this node knows, over all its tries. */
    int crashes(RoutedRequest request) {
        return quarantine.crashesOfRequest(request.contentId());
    }

    static UpstreamRun run(Upstream upstream) {
        return new UpstreamRun(upstream.id(), upstream.listing().incarnation());
    }

    /** Records that an attempt broke off because its upstream, or the connection to it, ended. */
    void onBroken(RoutedRequest request, Upstream upstream, Instant now) {
        Set<SegmentId> suspects = request.crashSuspects();
        if (suspects.isEmpty()) {
            return;
        }
        quarantine.onCrash(run(upstream), suspects, now);
        reportDue = true;
        quarantine
                .decideRequest(request.contentId(), now)
                .ifPresent(entry -> onChanged(List.of(entry), "decision", now));
    }

    /** Records that an upstream has answered an attempt. */
    void onAnswer(Upstream upstream, Instant sentAt) {
        quarantine.onAnswer(run(upstream), sentAt);
    }

    /** Records that an upstream refuses connections. */
    void onConnectionRefused(Upstream upstream, Instant now) {
        reportDue |= quarantine.onConnectionRefused(run(upstream), now);
    }

    /**
     * Records that an answer was passed. If it ended with its connection, the upstream may have crashed, which a probe shows.
     *
     * @param delimited whether it is known to be complete
     */
    void onPassed(Flow flow, Upstream upstream, boolean delimited, Instant now) {
        Set<SegmentId> suspects = flow.request().crashSuspects();
        if (delimited) {
            quarantine.onCompleted(run(upstream), suspects, now);
            return;
        }
        quarantine.onConnectionClosed(run(upstream), suspects, now);
        if (flow.path() instanceof UpstreamPath.Direct && mayCrash(flow.request(), now)) {
            effects.accept(new ServingEffect.ProbeUpstream(upstream.listing()));
        }
    }

    /** Processes what another node knows. */
    void onReport(NodeId sender, QuarantineReport report, Instant now) {
        List<QuarantineEntry> changes = quarantine.onReport(sender, report, now);
        boolean announced = announcementDue;
        onChanged(changes, sender, now);
        if (deciders(now).contains(sender.vm())) {
            // A decider tells all nodes itself.
            announcementDue = announced;
        }
    }

    /** Processes a record of the quarantine feed; an operator lifts a quarantine by removing its record. */
    void onRecord(FeedRecord record, Instant now) {
        if (record.value().isEmpty()) {
            Optional.ofNullable(recordKeys.remove(record.key()))
                    .flatMap(segments -> quarantine.lift(segments, now))
                    .ifPresent(lifted -> onChanged(List.of(lifted), "store", now));
            return;
        }
        Either<String, QuarantineEntry> decoded =
                QuarantineRecord.decode(record.value().get());
        if (decoded.isLeft()) {
            log(Decision.builder("record_unreadable")
                    .field("key", record.key())
                    .field("offset", FeedPosition.text(record.offset()))
                    .field("reason", decoded.getLeft()));
            return;
        }
        recordKeys.put(record.key(), decoded.get().segments());
        quarantine.onSaved(decoded.get(), now).ifPresent(entry -> onChanged(List.of(entry), "store", now));
    }

    /** Processes the return of the store from an earlier copy, which may lack the latest entries. */
    void onStoreRestored() {
        quarantine.setAllUnsaved();
    }

    private void onChanged(List<QuarantineEntry> entries, Object source, Instant now) {
        for (QuarantineEntry entry : entries) {
            changed = true;
            announcementDue = true;
            log(Decision.builder("quarantine")
                    .field("segments", entry.segments())
                    .field("quarantined", entry.quarantined())
                    .field("revision", entry.revision())
                    .field("crashes", entry.crashes())
                    .field("trials", entry.trials())
                    .field("first_crash_age_ms", entry.age().toMillis())
                    .field("source", source));
        }
    }

    /** Whether this node has seen a crash that it has not reported yet. */
    boolean reportDue() {
        return reportDue;
    }

    /** Whether the quarantines have changed since the last call. */
    boolean pollChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /** Whether this node hears of no other one. */
    private boolean alone(Instant now) {
        return peers.upPeers(now).isEmpty();
    }

    /** Whether the store must be read now, as nodes that this node cannot hear may know of crashes. */
    boolean pollReadDue(Instant now) {
        if (!alone(now) || now.isBefore(readDue)) {
            return false;
        }
        readDue = now.plus(READ_INTERVAL);
        return true;
    }

    /** Whether this node is one of those that decide. */
    boolean decides(Instant now) {
        return deciders(now).contains(self);
    }

    private List<VmId> deciders(Instant now) {
        return peers.holders(PeerMembership.QUARANTINE_DUTY, DECIDERS, acceptsWork.getAsBoolean(), now);
    }

    /** Decides on new quarantines and writes what is due. */
    void onTick(Instant now) {
        reportDue |= quarantine.confirmCompletions(now);
        onChanged(quarantine.expire(now), "expiry", now);
        onChanged(quarantine.decideRequests(now), "decision", now);
        if (!decides(now)) {
            return;
        }
        onChanged(quarantine.decide(now), "decision", now);
        VmId writer = peers.dutyHolder(PeerMembership.QUARANTINE_WRITER_DUTY, acceptsWork.getAsBoolean(), now);
        if (writer.equals(self) && !now.isBefore(writeDue)) {
            write(now);
        }
    }

    private void write(Instant now) {
        for (QuarantineEntry entry : quarantine.unsaved(now)) {
            String key = QuarantineRecord.key(entry.segments());
            if (writes.containsKey(key)) {
                continue;
            }
            writes.put(key, entry);
            recordKeys.put(key, entry.segments());
            effects.accept(new ServingEffect.WriteRecord(
                    FeedName.QUARANTINE, key, Optional.of(QuarantineRecord.encode(entry))));
        }
        for (String key : List.copyOf(recordKeys.keySet())) {
            if (!quarantine.knows(recordKeys.get(key))) {
                recordKeys.remove(key);
                effects.accept(new ServingEffect.WriteRecord(FeedName.QUARANTINE, key, Optional.empty()));
            }
        }
    }

    /** Processes the end of a write; an entry that was not written is written again. */
    void onWritten(ServingEvent.RecordWritten written, Instant now) {
        QuarantineEntry entry = writes.remove(written.key());
        if (!written.done()) {
            writeDue = now.plus(WRITE_RETRY_INTERVAL);
        } else if (entry != null) {
            quarantine.onWritten(entry);
        }
    }

    /** The peers that must learn at once what this node has learned since the last call. */
    List<VmId> pollReceivers(Instant now) {
        List<VmId> receivers = new ArrayList<>();
        if (announcementDue && decides(now)) {
            receivers.addAll(peers.upPeers(now));
        } else if (announcementDue || reportDue) {
            receivers.addAll(deciders(now));
        }
        receivers.remove(self);
        announcementDue = false;
        reportDue = false;
        return receivers;
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
