package org.wagtaillug.feed;

/** Reads the records of feeds. Implemented by the translation of a platform; never throws. */
public interface RecordDecoder {
    /** What a record of the configuration feed says. */
    ConfigurationItem configuration(FeedRecord record);

    /** What a record of the directory feed says. */
    DirectoryItem directory(FeedRecord record);
}
