package org.wagtaillug.link;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.GrantAskMessage;
import org.wagtaillug.link.generated.GrantDemandMessage;
import org.wagtaillug.link.generated.GrantOfferMessage;
import org.wagtaillug.link.generated.GrantReplyMessage;
import org.wagtaillug.link.generated.LoadReportMessage;
import org.wagtaillug.message.PeerMessage;

/** Converts grant messages to and from protobuf. */
final class GrantCodec {
    private GrantCodec() {}

    static GrantAskMessage encode(PeerMessage.GrantRequest request) {
        GrantAskMessage.Builder message =
                GrantAskMessage.newBuilder().setSequence(request.sequence()).setApplied(request.applied());
        for (PeerMessage.GrantDemand demand : request.demands()) {
            message.addDemands(encode(demand));
        }
        return message.build();
    }

    static PeerMessage.GrantRequest decode(GrantAskMessage message) {
        List<PeerMessage.GrantDemand> demands = new ArrayList<>(message.getDemandsCount());
        for (GrantDemandMessage demand : message.getDemandsList()) {
            demands.add(decode(demand));
        }
        return new PeerMessage.GrantRequest(message.getSequence(), message.getApplied(), List.copyOf(demands));
    }

    static GrantReplyMessage encode(PeerMessage.GrantReply reply) {
        GrantReplyMessage.Builder message = GrantReplyMessage.newBuilder().setSequence(reply.sequence());
        for (PeerMessage.GrantOffer offer : reply.offers()) {
            message.addOffers(encode(offer));
        }
        return message.build();
    }

    static PeerMessage.GrantReply decode(GrantReplyMessage message) {
        List<PeerMessage.GrantOffer> offers = new ArrayList<>(message.getOffersCount());
        for (GrantOfferMessage offer : message.getOffersList()) {
            offers.add(decode(offer));
        }
        return new PeerMessage.GrantReply(message.getSequence(), List.copyOf(offers));
    }

    private static GrantDemandMessage encode(PeerMessage.GrantDemand demand) {
        GrantDemandMessage.Builder message = GrantDemandMessage.newBuilder()
                .setUpstream(demand.upstream().value())
                .setWanted(demand.wanted())
                .setInUse(demand.inUse())
                .setSucceeded(demand.succeeded())
                .setFailed(demand.failed());
        demand.startedAt().ifPresent(start -> message.setStartedAt(TimeCodec.encode(start)));
        return message.build();
    }

    private static PeerMessage.GrantDemand decode(GrantDemandMessage message) {
        Optional<Instant> startedAt =
                message.hasStartedAt() ? Optional.of(TimeCodec.decode(message.getStartedAt())) : Optional.empty();
        return new PeerMessage.GrantDemand(
                new VmId(message.getUpstream()),
                message.getWanted(),
                message.getInUse(),
                message.getSucceeded(),
                message.getFailed(),
                startedAt);
    }

    private static GrantOfferMessage encode(PeerMessage.GrantOffer offer) {
        GrantOfferMessage.Builder message = GrantOfferMessage.newBuilder()
                .setUpstream(offer.upstream().value())
                .setAllowed(offer.allowed())
                .setLifetime(TimeCodec.encode(offer.lifetime()))
                .setCold(offer.cold());
        offer.report().ifPresent(report -> message.setReport(encode(report)));
        return message.build();
    }

    private static PeerMessage.GrantOffer decode(GrantOfferMessage message) {
        Optional<LoadReport> report = message.hasReport() ? Optional.of(decode(message.getReport())) : Optional.empty();
        return new PeerMessage.GrantOffer(
                new VmId(message.getUpstream()),
                message.getAllowed(),
                TimeCodec.decode(message.getLifetime()),
                message.getCold(),
                report);
    }

    private static LoadReportMessage encode(LoadReport report) {
        LoadReportMessage.Builder message = LoadReportMessage.newBuilder()
                .setStartedAt(TimeCodec.encode(report.startedAt()))
                .setReportedAt(TimeCodec.encode(report.reportedAt()))
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setSlots(report.slots())
                .setModelVersion(report.modelVersion())
                .setFencingNumber(report.fencingNumber());
        report.model().ifPresent(model -> message.setModel(model.value()));
        return message.build();
    }

    private static LoadReport decode(LoadReportMessage message) {
        Optional<ModelId> model = message.hasModel() ? Optional.of(new ModelId(message.getModel())) : Optional.empty();
        return new LoadReport(
                TimeCodec.decode(message.getStartedAt()),
                TimeCodec.decode(message.getReportedAt()),
                message.getRunning(),
                message.getWaiting(),
                message.getSlots(),
                model,
                message.getModelVersion(),
                message.getFencingNumber());
    }
}
