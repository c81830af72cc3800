package org.mulleinshift.progress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.ChunkKey;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.TransactionBatcher;

/**
 * Writes chunks of progress under their own keys, and deletes such keys.
 *
 * <p>While the outcome of a chunk's last write under its key is uncertain, the chunk is not written
 * to the log: the write could still be carried out and would then have a higher revision than the
 * log entry.
 */
final class ChunkKeyWriter {
  /** Connects this writer with the progress log. */
  interface Listener {
    /** Whether the outcome of a write of the chunk to the log is uncertain. */
    boolean hasUncertainLogWrite(String chunkName);

    /** Called when chunks of the update are stored under their keys. */
    void onStored(ChunkUpdate update);
  }

  private final TransactionBatcher batcher;
  private final ProgressLog log;
  private final int valueBytes;
  private final int maxOps;
  private final Listener listener;

  /** The chunks whose last write under their own key is uncertain, by name of the whole chunk. */
  private final Map<String, Set<Chunk>> uncertainChunks = new HashMap<>();

  private boolean splitAllowed;

  /**
   * Creates a writer for one term.
   *
   * @param valueBytes maximum length of a value; longer chunks are split if that is allowed
   * @param maxOps maximum number of writes of a transaction
   */
  ChunkKeyWriter(
      TransactionBatcher batcher, ProgressLog log, int valueBytes, int maxOps, Listener listener) {
    this.batcher = batcher;
    this.log = log;
    this.valueBytes = valueBytes;
    this.maxOps = maxOps;
    this.listener = listener;
  }

  /** Allows chunks to be split from now on, since all controllers can read split chunks. */
  void allowSplitting() {
    splitAllowed = true;
  }

  boolean isSplittingAllowed() {
    return splitAllowed;
  }

  /** Whether the outcome of a write of the chunk under its own key is uncertain. */
  boolean hasUncertainWrite(String chunkName) {
    return uncertainChunks.containsKey(chunkName);
  }

  /** Submits the pending chunks of the update. */
  void write(ChunkUpdate update) {
    batcher.submit(update.name(), new ChunkMutation(update));
  }

  /** Submits the pending chunks of the update, to be written when nothing else is pending. */
  void writeWhenIdle(ChunkUpdate update) {
    batcher.submitWhenIdle(update.name(), new ChunkMutation(update));
  }

  /** Removes a chunk that is no longer read, whether it is in the log or under its own key. */
  void delete(Job job, Chunk chunk) {
    log.release(new ProgressLog.ChunkId(job.spec().id(), chunk));
    String key = ChunkKey.format(job.spec().id(), chunk);
    if (batcher.hasRevision(key)) {
      // The key is no longer read, so its deletion need not delay writes that tasks wait for.
      deleteKey(key, () -> job.chunkLayout().onDeleted(chunk));
    } else {
      job.chunkLayout().onDeleted(chunk);
    }
  }

  /** Submits the deletion of a key that is no longer read, for when nothing else is pending. */
  void deleteKey(String key) {
    deleteKey(key, () -> {});
  }

  private void deleteKey(String key, Runnable onDeleted) {
    batcher.submitWhenIdle(key, new DeleteKeyMutation(key, onDeleted));
  }

  /** Forgets the uncertain writes of a job that has ended: its progress is no longer read. */
  void forgetUncertainWrites(Job job) {
    for (Chunk chunk : job.chunkLayout().live()) {
      uncertainChunks.remove(ChunkUpdate.name(job, chunk.number()));
    }
  }

  /** Writes the changed parts of a chunk, each under its own key. */
  private final class ChunkMutation implements TransactionBatcher.Mutation {
    private final ChunkUpdate update;

    ChunkMutation(ChunkUpdate update) {
      this.update = update;
    }

    @Override
    public boolean urgent() {
      return update.urgent();
    }

    @Override
    public List<Write> writes() {
      if (listener.hasUncertainLogWrite(update.name())) {
        // The next write to the log includes this chunk.
        return List.of();
      }
      List<ChunkUpdate.EncodedChunk> chosen =
          update.encode(valueBytes, splitAllowed).stream().limit(maxOps).toList();
      update.markSent(chosen);
      List<Write> writes = new ArrayList<>();
      for (ChunkUpdate.EncodedChunk encoded : chosen) {
        uncertainChunks.computeIfAbsent(update.name(), key -> new HashSet<>()).add(encoded.chunk());
        writes.add(Write.put(ChunkKey.format(jobId(), encoded.chunk()), encoded.progress()));
      }
      return writes;
    }

    private JobId jobId() {
      return update.job().spec().id();
    }

    @Override
    public void onCommitted(Revision revision) {
      removeCertainWrites();
      for (Chunk chunk : update.sentChunks()) {
        log.release(new ProgressLog.ChunkId(jobId(), chunk));
      }
      update.onStored(revision);
      listener.onStored(update);
    }

    /**
     * Removes the chunks whose outcome is now known from the uncertain ones, and those that were
     * split since: the progress of their parts takes precedence.
     */
    private void removeCertainWrites() {
      Set<Chunk> remaining = uncertainChunks.getOrDefault(update.name(), new HashSet<>());
      remaining.removeAll(update.sentChunks());
      remaining.removeIf(chunk -> !update.job().chunkLayout().live().contains(chunk));
      if (remaining.isEmpty()) {
        uncertainChunks.remove(update.name());
      }
    }
  }
}
