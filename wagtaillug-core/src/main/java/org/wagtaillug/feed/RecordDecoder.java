package org.wagtaillug.feed;

import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutStatus;

/** Decodes feed records and encodes rollout records. Implemented per platform; implementations must not throw. */
public interface RecordDecoder {
    /** Decodes a record of the configuration feed. */
    ConfigurationItem configuration(FeedRecord record);

    /** Decodes a record of the directory feed. */
    DirectoryItem directory(FeedRecord record);

    /** Decodes a record of the rollouts feed. */
    RolloutItem rollout(FeedRecord record);

    /** The key of the record with the status of a pool's rollout. */
    String rolloutKey(PoolId pool);

    /** Encodes a rollout status as the value of its record. */
    byte[] encode(RolloutStatus status);
}
