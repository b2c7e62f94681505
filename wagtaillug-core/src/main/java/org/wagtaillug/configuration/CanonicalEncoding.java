package org.wagtaillug.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogRecord.StateMember;

/**
 * Encodes one item of the control state as bytes that are identical in every process: each text is prefixed with its
 * length, and maps are ordered by key. The hash of an item is the first eight bytes of the SHA-256 digest of its
 * encoding.
 */
final class CanonicalEncoding {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private CanonicalEncoding() {}

    /** The hash of a configuration entry. */
    static long hash(StateEntry entry) {
        return encode(entry).hash();
    }

    /** The hash of a member of the roster. */
    static long hash(StateMember member) {
        return encode(member).hash();
    }

    /** The encoded size of an entry in bytes. */
    static int size(StateEntry entry) {
        return encode(entry).bytes.size();
    }

    /** The encoded size of a member in bytes. */
    static int size(StateMember member) {
        return encode(member).bytes.size();
    }

    private static CanonicalEncoding encode(StateEntry entry) {
        CanonicalEncoding encoding = new CanonicalEncoding();
        encoding.text("entry");
        encoding.text(entry.key());
        encoding.number(entry.version());
        encoding.body(entry.body());
        return encoding;
    }

    private static CanonicalEncoding encode(StateMember member) {
        CanonicalEncoding encoding = new CanonicalEncoding();
        NodeAddress address = member.address();
        encoding.text("member");
        encoding.text(member.node().vm().value());
        encoding.number(member.node().incarnation());
        encoding.number(member.joined());
        encoding.text(address.host());
        encoding.number(address.port());
        encoding.text(address.domain().value());
        return encoding;
    }

    private long hash() {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes.toByteArray());
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private void body(Body body) {
        switch (body) {
            case Template template -> template(template);
            case CustomerContract customer -> customer(customer);
            case PoolContract pool -> pool(pool);
            case PlacementContract placement -> placement(placement);
            case Body.DomainService service ->
                service("domain", service.domain().value(), service.out());
            case Body.VmService service -> service("vm", service.vm().value(), service.out());
            case Body.Removed ignored -> text("removed");
            case Body.Unknown unknown -> unknown(unknown);
        }
    }

    private void template(Template template) {
        text("template");
        text(template.id().value());
        number(template.deadline().toNanos());
        bool(template.idempotent());
        number(Double.doubleToLongBits(template.worth()));
        number(template.stages().size());
        for (Stage stage : template.stages()) {
            stage(stage);
        }
    }

    private void stage(Stage stage) {
        text(stage.id().value());
        text(stage.pool().value());
        text(stage.work().name());
        text(stage.operation());
        optionalText(stage.model().map(Object::toString));
        number(stage.attempts());
        bool(stage.hedge());
        number(stage.timeout().toNanos());
    }

    private void customer(CustomerContract customer) {
        text("customer");
        text(customer.id().value());
        number(Double.doubleToLongBits(customer.share()));
        number(customer.parameters().size());
        Map<TemplateId, CustomerContract.Parameters> sorted = new TreeMap<>(customer.parameters());
        for (Map.Entry<TemplateId, CustomerContract.Parameters> entry : sorted.entrySet()) {
            text(entry.getKey().value());
            CustomerContract.Parameters parameters = entry.getValue();
            optionalText(parameters.deadline().map(Object::toString));
            optionalText(parameters.worth().map(Object::toString));
            optionalText(parameters.idempotent().map(Object::toString));
        }
    }

    private void pool(PoolContract pool) {
        text("pool");
        text(pool.id().value());
        number(pool.coldLimit());
        number(pool.warmAfter());
        number(pool.warmLimit());
        bool(pool.checksFencing());
        bool(pool.checksKeys());
    }

    private void placement(PlacementContract placement) {
        text("placement");
        text(placement.model().value());
        number(placement.version());
        text(placement.pool().value());
        number(placement.copies());
    }

    private void service(String kind, String name, boolean out) {
        text(kind);
        text(name);
        bool(out);
    }

    private void unknown(Body.Unknown unknown) {
        text("unknown");
        text(unknown.kind());
        text(unknown.text());
    }

    private void optionalText(Optional<String> value) {
        bool(value.isPresent());
        text(value.orElse(""));
    }

    private void bool(boolean value) {
        number(value ? 1 : 0);
    }

    private void text(String value) {
        byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
        number(encoded.length);
        bytes.writeBytes(encoded);
    }

    private void number(long value) {
        bytes.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    }
}
