package org.wagtaillug.stream;

import java.time.Duration;
import java.util.Optional;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;

/**
 * Where a stream began. Only upstreams of the same pool and version can continue it, as two versions may write different
 * events.
 *
 * @param stream id of the request that brought the first event
 * @param pool the pool of the upstream that sent it
 * @param version the version of that upstream; empty if it is uncertain, so that no upstream can continue the stream
 * @param lifetime how much longer the stream may be taken up
 */
public record StreamOrigin(RequestId stream, PoolId pool, Optional<VersionKey> version, Duration lifetime) {}
