package org.wagtaillug.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wagtaillug.id.SegmentId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.CompletionMessage;
import org.wagtaillug.link.generated.CrashMessage;
import org.wagtaillug.link.generated.QuarantineEntryMessage;
import org.wagtaillug.link.generated.QuarantineReportMessage;
import org.wagtaillug.quarantine.CompletionReport;
import org.wagtaillug.quarantine.CrashReport;
import org.wagtaillug.quarantine.QuarantineEntry;
import org.wagtaillug.quarantine.QuarantineReport;
import org.wagtaillug.quarantine.UpstreamRun;

/** Converts reports of prompts that crash upstreams to and from protobuf. */
final class QuarantineCodec {
    private QuarantineCodec() {}

    static QuarantineReportMessage encode(QuarantineReport report) {
        QuarantineReportMessage.Builder message = QuarantineReportMessage.newBuilder();
        for (QuarantineEntry entry : report.entries()) {
            message.addEntries(QuarantineEntryMessage.newBuilder()
                    .addAllSegments(texts(entry.segments()))
                    .setRevision(entry.revision())
                    .setQuarantined(entry.quarantined())
                    .setCrashes(entry.crashes())
                    .setTrials(entry.trials())
                    .setAgeMillis(entry.age().toMillis()));
        }
        for (CrashReport crash : report.crashes()) {
            message.addCrashes(CrashMessage.newBuilder()
                    .setUpstream(crash.run().upstream().value())
                    .setIncarnation(crash.run().incarnation())
                    .addAllSegments(texts(crash.segments()))
                    .setAgeMillis(crash.age().toMillis()));
        }
        for (CompletionReport completion : report.completions()) {
            message.addCompletions(CompletionMessage.newBuilder()
                    .setSegment(completion.segment().value())
                    .setUpstream(completion.run().upstream().value())
                    .setIncarnation(completion.run().incarnation())
                    .setAgeMillis(completion.age().toMillis()));
        }
        return message.build();
    }

    static QuarantineReport decode(QuarantineReportMessage message) {
        List<QuarantineEntry> entries = new ArrayList<>();
        for (QuarantineEntryMessage entry : message.getEntriesList()) {
            entries.add(new QuarantineEntry(
                    segments(entry.getSegmentsList()),
                    entry.getRevision(),
                    entry.getQuarantined(),
                    entry.getCrashes(),
                    entry.getTrials(),
                    Duration.ofMillis(entry.getAgeMillis())));
        }
        List<CrashReport> crashes = new ArrayList<>();
        for (CrashMessage crash : message.getCrashesList()) {
            crashes.add(new CrashReport(
                    new UpstreamRun(new VmId(crash.getUpstream()), crash.getIncarnation()),
                    segments(crash.getSegmentsList()),
                    Duration.ofMillis(crash.getAgeMillis())));
        }
        List<CompletionReport> completions = new ArrayList<>();
        for (CompletionMessage completion : message.getCompletionsList()) {
            completions.add(new CompletionReport(
                    new SegmentId(completion.getSegment()),
                    new UpstreamRun(new VmId(completion.getUpstream()), completion.getIncarnation()),
                    Duration.ofMillis(completion.getAgeMillis())));
        }
        return new QuarantineReport(true, entries, crashes, completions);
    }

    private static List<String> texts(Collection<SegmentId> segments) {
        return segments.stream().map(SegmentId::value).sorted().toList();
    }

    private static Set<SegmentId> segments(List<String> texts) {
        Set<SegmentId> segments = new HashSet<>();
        texts.forEach(text -> segments.add(new SegmentId(text)));
        return segments;
    }
}
