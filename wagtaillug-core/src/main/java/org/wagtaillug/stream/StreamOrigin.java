package org.wagtaillug.stream;

import java.time.Duration;
import java.util.Optional;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/**
 * Where a stream began. Only upstreams of the same pool and version can continue it, as two versions may write different
 * events.
 *
 * @param stream id of the request that brought the first event
 * @param pool the pool of the upstream that sent it
 * @param version the version of that upstream, according to its directory entry at the time
 * @param sender the upstream that sent it; empty if it is not known
 * @param lifetime how much longer the stream may be taken up
 */
public record StreamOrigin(
        RequestId stream, PoolId pool, VersionKey version, Optional<Sender> sender, Duration lifetime) {
    /**
     * The upstream that sent the first event of a stream.
     *
     * @param upstream its id
     * @param incarnation the incarnation of its directory entry, which may have been outdated
     * @param age the time since the first event
     */
    public record Sender(VmId upstream, long incarnation, Duration age) {}
}
