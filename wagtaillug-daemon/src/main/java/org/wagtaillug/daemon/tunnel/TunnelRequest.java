package org.wagtaillug.daemon.tunnel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wagtaillug.id.VmId;

/**
 * The first bytes on a tunnel: the length of the id in two bytes, the id in UTF-8, the incarnation in eight bytes.
 *
 * @param upstream the upstream to connect to
 * @param incarnation its incarnation
 */
record TunnelRequest(VmId upstream, long incarnation) {
    /** The longest id, in bytes, that is accepted. */
    private static final int MAX_ID_BYTES = 512;

    ByteBuffer encode() {
        byte[] id = upstream.value().getBytes(StandardCharsets.UTF_8);
        ByteBuffer bytes = ByteBuffer.allocate(Short.BYTES + id.length + Long.BYTES);
        bytes.putShort((short) id.length).put(id).putLong(incarnation);
        return bytes.flip();
    }

    /**
     * Decodes a request.
     *
     * @return empty if bytes are still missing; the buffer is then unchanged
     * @throws IllegalArgumentException if the bytes are not a request
     */
    static Optional<TunnelRequest> decode(ByteBuffer bytes) {
        ByteBuffer view = bytes.duplicate();
        if (view.remaining() < Short.BYTES) {
            return Optional.empty();
        }
        int length = Short.toUnsignedInt(view.getShort());
        if (length == 0 || length > MAX_ID_BYTES) {
            throw new IllegalArgumentException("id of " + length + " bytes; expected 1 to " + MAX_ID_BYTES);
        }
        if (view.remaining() < length + Long.BYTES) {
            return Optional.empty();
        }
        byte[] id = new byte[length];
        view.get(id);
        long incarnation = view.getLong();
        bytes.position(view.position());
        return Optional.of(new TunnelRequest(new VmId(new String(id, StandardCharsets.UTF_8)), incarnation));
    }
}
