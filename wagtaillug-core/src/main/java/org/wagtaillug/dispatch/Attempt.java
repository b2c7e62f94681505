package org.wagtaillug.dispatch;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.result.Payload;

/**
 * One call to one upstream, with all that the sender needs.
 *
 * @param id names it on the wire; an answer with another name is not its answer
 * @param stage what is done
 * @param upstream who does it
 * @param input the output of the stage before, or the request's body for the first stage
 * @param startBefore no byte may be sent at or after this time: the grant it uses has run out then
 * @param deadline the attempt is given up at this time
 * @param priority 0 to 9, 9 most urgent
 * @param key the idempotency key to hand on; empty for idempotent work
 * @param onNewConnection whether it may not use a connection that is open already
 */
public record Attempt(
        AttemptId id,
        Stage stage,
        Vm upstream,
        Payload input,
        Instant startBefore,
        Instant deadline,
        int priority,
        Optional<IdempotencyKey> key,
        boolean onNewConnection) {}
