package org.mulleinshift.model;

import java.util.Optional;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.store.StoreKeys;

/** The store key of one chunk of a job's progress. */
public record ChunkKey(JobId job, Chunk chunk) {
  private static final char SEPARATOR = '/';

  /** Parses a key; empty if this build does not write such keys. */
  public static Optional<ChunkKey> parse(String key) {
    int separator = key.indexOf(SEPARATOR, StoreKeys.PROGRESS.length());
    if (separator < 0) {
      return Optional.empty();
    }
    JobId job = new JobId(key.substring(StoreKeys.PROGRESS.length(), separator));
    return Chunk.parse(key.substring(separator + 1)).map(chunk -> new ChunkKey(job, chunk));
  }

  /** Returns the store key of a job's chunk. */
  public static String format(JobId job, Chunk chunk) {
    return StoreKeys.PROGRESS + job + SEPARATOR + chunk;
  }
}
