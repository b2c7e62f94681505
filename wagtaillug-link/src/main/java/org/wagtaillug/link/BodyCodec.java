package org.wagtaillug.link;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.StageId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.BodyMessage;
import org.wagtaillug.link.generated.CustomerContractMessage;
import org.wagtaillug.link.generated.DomainServiceMessage;
import org.wagtaillug.link.generated.ParametersMessage;
import org.wagtaillug.link.generated.PlacementContractMessage;
import org.wagtaillug.link.generated.PoolContractMessage;
import org.wagtaillug.link.generated.RemovedMessage;
import org.wagtaillug.link.generated.StageMessage;
import org.wagtaillug.link.generated.StageWorkMessage;
import org.wagtaillug.link.generated.TemplateMessage;
import org.wagtaillug.link.generated.UnknownBodyMessage;
import org.wagtaillug.link.generated.VmServiceMessage;

/** Converts configuration bodies to and from protobuf. */
final class BodyCodec {
    /**
     * The kind of an {@link Body.Unknown} that holds a body of a kind introduced by a newer program version. Its text
     * is the Base64 encoding of the protobuf bytes, so that this node forwards the body unchanged.
     */
    private static final String NEWER_VERSION_KIND = "protobuf";

    private BodyCodec() {}

    static BodyMessage encode(Body body) {
        BodyMessage.Builder message = BodyMessage.newBuilder();
        return switch (body) {
            case Template template ->
                message.setTemplate(encodeTemplate(template)).build();
            case CustomerContract contract ->
                message.setCustomerContract(encodeCustomer(contract)).build();
            case PoolContract contract ->
                message.setPoolContract(encodePool(contract)).build();
            case PlacementContract contract ->
                message.setPlacementContract(encodePlacement(contract)).build();
            case Body.DomainService service ->
                message.setDomainService(DomainServiceMessage.newBuilder()
                                .setDomain(service.domain().value())
                                .setOut(service.out()))
                        .build();
            case Body.VmService service ->
                message.setVmService(VmServiceMessage.newBuilder()
                                .setVm(service.vm().value())
                                .setOut(service.out()))
                        .build();
            case Body.Removed ignored ->
                message.setRemoved(RemovedMessage.getDefaultInstance()).build();
            case Body.Unknown unknown -> encodeUnknown(unknown);
        };
    }

    /**
     * Decodes a body.
     *
     * @throws IllegalArgumentException if a value is outside the range of its type
     */
    static Body decode(BodyMessage message) {
        return switch (message.getKindCase()) {
            case TEMPLATE -> decodeTemplate(message.getTemplate());
            case CUSTOMER_CONTRACT -> decodeCustomer(message.getCustomerContract());
            case POOL_CONTRACT -> decodePool(message.getPoolContract());
            case PLACEMENT_CONTRACT -> decodePlacement(message.getPlacementContract());
            case DOMAIN_SERVICE ->
                new Body.DomainService(
                        new DomainId(message.getDomainService().getDomain()),
                        message.getDomainService().getOut());
            case VM_SERVICE ->
                new Body.VmService(
                        new VmId(message.getVmService().getVm()),
                        message.getVmService().getOut());
            case REMOVED -> new Body.Removed();
            case UNKNOWN ->
                new Body.Unknown(
                        message.getUnknown().getKind(), message.getUnknown().getText());
            case KIND_NOT_SET ->
                new Body.Unknown(NEWER_VERSION_KIND, Base64.getEncoder().encodeToString(message.toByteArray()));
        };
    }

    private static BodyMessage encodeUnknown(Body.Unknown unknown) {
        if (unknown.kind().equals(NEWER_VERSION_KIND)) {
            try {
                return BodyMessage.parseFrom(Base64.getDecoder().decode(unknown.text()));
            } catch (InvalidProtocolBufferException | IllegalArgumentException exception) {
                // Not produced by decode(): forward the text as it is.
                return encodeText(unknown);
            }
        }
        return encodeText(unknown);
    }

    private static BodyMessage encodeText(Body.Unknown unknown) {
        return BodyMessage.newBuilder()
                .setUnknown(
                        UnknownBodyMessage.newBuilder().setKind(unknown.kind()).setText(unknown.text()))
                .build();
    }

    private static TemplateMessage encodeTemplate(Template template) {
        TemplateMessage.Builder message = TemplateMessage.newBuilder()
                .setId(template.id().value())
                .setDeadline(TimeCodec.encode(template.deadline()))
                .setIdempotent(template.idempotent())
                .setWorth(template.worth());
        for (Stage stage : template.stages()) {
            message.addStages(encodeStage(stage));
        }
        return message.build();
    }

    private static Template decodeTemplate(TemplateMessage message) {
        Template.Builder template = Template.builder(new TemplateId(message.getId()).value())
                .deadline(TimeCodec.decode(message.getDeadline()))
                .idempotent(message.getIdempotent())
                .worth(message.getWorth());
        for (StageMessage stage : message.getStagesList()) {
            template.stage(decodeStage(stage));
        }
        return template.build();
    }

    private static StageMessage encodeStage(Stage stage) {
        StageMessage.Builder message = StageMessage.newBuilder()
                .setId(stage.id().value())
                .setPool(stage.pool().value())
                .setWork(encodeWork(stage.work()))
                .setOperation(stage.operation())
                .setAttempts(stage.attempts())
                .setHedge(stage.hedge())
                .setTimeout(TimeCodec.encode(stage.timeout()));
        stage.model().ifPresent(model -> message.setModel(model.value()));
        return message.build();
    }

    private static Stage decodeStage(StageMessage message) {
        Optional<ModelId> model = message.hasModel() ? Optional.of(new ModelId(message.getModel())) : Optional.empty();
        return new Stage(
                new StageId(message.getId()),
                new PoolId(message.getPool()),
                decodeWork(message.getWork()),
                message.getOperation(),
                model,
                message.getAttempts(),
                message.getHedge(),
                TimeCodec.decode(message.getTimeout()));
    }

    private static StageWorkMessage encodeWork(StageWork work) {
        return switch (work) {
            case TRANSFORM -> StageWorkMessage.STAGE_WORK_TRANSFORM;
            case GENERATE -> StageWorkMessage.STAGE_WORK_GENERATE;
            case CALL -> StageWorkMessage.STAGE_WORK_CALL;
        };
    }

    private static StageWork decodeWork(StageWorkMessage work) {
        return switch (work) {
            case STAGE_WORK_TRANSFORM -> StageWork.TRANSFORM;
            case STAGE_WORK_GENERATE -> StageWork.GENERATE;
            case STAGE_WORK_CALL -> StageWork.CALL;
            case STAGE_WORK_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException(
                        "invalid stage work " + work + "; expected TRANSFORM, GENERATE or CALL");
        };
    }

    private static CustomerContractMessage encodeCustomer(CustomerContract contract) {
        CustomerContractMessage.Builder message = CustomerContractMessage.newBuilder()
                .setId(contract.id().value())
                .setShare(contract.share());
        for (Map.Entry<TemplateId, CustomerContract.Parameters> entry :
                new TreeMap<>(contract.parameters()).entrySet()) {
            message.addParameters(encodeParameters(entry.getKey(), entry.getValue()));
        }
        return message.build();
    }

    private static ParametersMessage encodeParameters(TemplateId template, CustomerContract.Parameters parameters) {
        ParametersMessage.Builder message = ParametersMessage.newBuilder().setTemplate(template.value());
        parameters.deadline().ifPresent(deadline -> message.setDeadline(TimeCodec.encode(deadline)));
        parameters.worth().ifPresent(message::setWorth);
        parameters.idempotent().ifPresent(message::setIdempotent);
        return message.build();
    }

    private static CustomerContract decodeCustomer(CustomerContractMessage message) {
        Map<TemplateId, CustomerContract.Parameters> parameters = new HashMap<>();
        for (ParametersMessage entry : message.getParametersList()) {
            Optional<Duration> deadline =
                    entry.hasDeadline() ? Optional.of(TimeCodec.decode(entry.getDeadline())) : Optional.empty();
            Optional<Double> worth = entry.hasWorth() ? Optional.of(entry.getWorth()) : Optional.empty();
            Optional<Boolean> idempotent =
                    entry.hasIdempotent() ? Optional.of(entry.getIdempotent()) : Optional.empty();
            parameters.put(
                    new TemplateId(entry.getTemplate()), new CustomerContract.Parameters(deadline, worth, idempotent));
        }
        return new CustomerContract(new CustomerId(message.getId()), message.getShare(), parameters);
    }

    private static PoolContractMessage encodePool(PoolContract contract) {
        return PoolContractMessage.newBuilder()
                .setId(contract.id().value())
                .setColdLimit(contract.coldLimit())
                .setWarmAfter(contract.warmAfter())
                .setWarmLimit(contract.warmLimit())
                .setChecksFencing(contract.checksFencing())
                .setChecksKeys(contract.checksKeys())
                .build();
    }

    private static PoolContract decodePool(PoolContractMessage message) {
        return new PoolContract(
                new PoolId(message.getId()),
                message.getColdLimit(),
                message.getWarmAfter(),
                message.getWarmLimit(),
                message.getChecksFencing(),
                message.getChecksKeys());
    }

    private static PlacementContractMessage encodePlacement(PlacementContract contract) {
        return PlacementContractMessage.newBuilder()
                .setModel(contract.model().value())
                .setVersion(contract.version())
                .setPool(contract.pool().value())
                .setCopies(contract.copies())
                .build();
    }

    private static PlacementContract decodePlacement(PlacementContractMessage message) {
        return new PlacementContract(
                new ModelId(message.getModel()),
                message.getVersion(),
                new PoolId(message.getPool()),
                message.getCopies());
    }
}
