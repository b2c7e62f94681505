package org.wagtaillug.feed;

import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutStatus;

/** Reads the records of feeds, and writes those of rollouts. Implemented by the translation of a platform; never throws. */
public interface RecordDecoder {
    /** What a record of the configuration feed says. */
    ConfigurationItem configuration(FeedRecord record);

    /** What a record of the directory feed says. */
    DirectoryItem directory(FeedRecord record);

    /** What a record of the rollouts feed says. */
    RolloutItem rollout(FeedRecord record);

    /** The key of the record that tells the status of a pool's rollout. */
    String rolloutKey(PoolId pool);

    /** The content of the record that tells a status. */
    byte[] encode(RolloutStatus status);
}
