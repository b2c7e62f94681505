package org.wagtaillug.dispatch;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.result.Payload;

/**
 * One call to one upstream, with everything that the sender needs.
 *
 * @param id identifies the attempt on the wire; a response with another id is not accepted
 * @param stage the stage that it executes
 * @param upstream the upstream that is called
 * @param input the output of the previous stage, or the request's body for the first stage
 * @param sendDeadline no byte may be sent at or after this time, because the grant that it uses has expired by then
 * @param deadline the attempt is cancelled at this time
 * @param priority 0 to 9, where 9 is the most urgent
 * @param key the idempotency key to forward; empty for idempotent work
 * @param onNewConnection whether it must open a new connection instead of reusing one
 */
public record Attempt(
        AttemptId id,
        Stage stage,
        Vm upstream,
        Payload input,
        Instant sendDeadline,
        Instant deadline,
        int priority,
        Optional<IdempotencyKey> key,
        boolean onNewConnection) {}
