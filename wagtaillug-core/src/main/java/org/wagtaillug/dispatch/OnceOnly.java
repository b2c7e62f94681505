package org.wagtaillug.dispatch;

import java.time.Instant;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Asks for the right to run something that must happen once, and reports what became of it. */
public interface OnceOnly {
    /** Asks for the right; the answer comes later as one of the dispatcher's {@code onClaim...} calls. */
    void ask(RequestId request, IdempotencyKey key, String bodyDigest, Instant deadline, Instant now, Effects effects);

    /** The holder of the right sent the work and this came of it. */
    void settled(RequestId request, ResultCode code, RunState run, Payload output, Instant now, Effects effects);

    /** The holder of the right has sent nothing and never will. */
    void abandon(RequestId request, Instant now, Effects effects);
}
