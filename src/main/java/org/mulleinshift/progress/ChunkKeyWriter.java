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
 * Writes chunks of progress under keys of their own, and deletes such keys.
 *
 * <p>A chunk whose last write has no certain outcome stays with its key until that is known: a late
 * copy could otherwise appear with a higher revision than an image in the log.
 */
final class ChunkKeyWriter {
  /** What the writer needs of the other ways in which progress is stored. */
  interface Listener {
    /** Whether a write of the chunk to the log may still be carried out. */
    boolean isUncertainInLog(String chunkName);

    /** Chunks of the update are stored under their keys. */
    void onStored(ChunkUpdate update);
  }

  private final TransactionBatcher batcher;
  private final ProgressLog log;
  private final int valueBytes;
  private final int maxOps;
  private final Listener listener;

  /** By name, the chunks whose last write under a key of their own may still be carried out. */
  private final Map<String, Set<Chunk>> uncertain = new HashMap<>();

  private boolean splitAllowed;

  /**
   * A writer for one term.
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

  /** All controllers read split chunks from now on. */
  void allowSplitting() {
    splitAllowed = true;
  }

  boolean isSplittingAllowed() {
    return splitAllowed;
  }

  /** Whether a write of the chunk under its own key may still be carried out. */
  boolean isUncertain(String chunkName) {
    return uncertain.containsKey(chunkName);
  }

  /** Has the pending chunks of the update written. */
  void write(ChunkUpdate update) {
    batcher.submit(update.name(), new ChunkMutation(update));
  }

  /** Has the pending chunks of the update written when nothing else waits. */
  void writeWhenIdle(ChunkUpdate update) {
    batcher.submitWhenIdle(update.name(), new ChunkMutation(update));
  }

  /** Has a chunk deleted that is no longer read, wherever it is stored. */
  void delete(Job job, Chunk chunk) {
    log.release(new ProgressLog.ChunkImage(job.spec().id(), chunk));
    String key = ChunkKey.format(job.spec().id(), chunk);
    if (batcher.hasRevision(key)) {
      // Nobody reads it any more: it need not compete with what tasks wait for.
      deleteKey(key, () -> job.chunkLayout().onDeleted(chunk));
    } else {
      job.chunkLayout().onDeleted(chunk);
    }
  }

  /** Has a key deleted that nobody reads any more. */
  void deleteKey(String key) {
    deleteKey(key, () -> {});
  }

  private void deleteKey(String key, Runnable onDeleted) {
    batcher.submitWhenIdle(key, new DeleteKeyMutation(key, onDeleted));
  }

  /** Forgets uncertain writes of a job that has ended: nobody reads them. */
  void forget(Job job) {
    for (Chunk chunk : job.chunkLayout().live()) {
      uncertain.remove(ChunkUpdate.name(job, chunk.number()));
    }
  }

  /** Changed chunks, each under a key of its own. */
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
      if (listener.isUncertainInLog(update.name())) {
        // The log's next write takes it along.
        return List.of();
      }
      List<ChunkUpdate.EncodedChunk> chosen =
          update.encode(valueBytes, splitAllowed).stream().limit(maxOps).toList();
      update.markSent(chosen);
      List<Write> writes = new ArrayList<>();
      for (ChunkUpdate.EncodedChunk encoded : chosen) {
        uncertain.computeIfAbsent(update.name(), key -> new HashSet<>()).add(encoded.chunk());
        writes.add(Write.put(ChunkKey.format(jobId(), encoded.chunk()), encoded.progress()));
      }
      return writes;
    }

    private JobId jobId() {
      return update.job().spec().id();
    }

    @Override
    public void onCommitted(Revision revision) {
      markCertain();
      for (Chunk chunk : update.sentChunks()) {
        log.release(new ProgressLog.ChunkImage(jobId(), chunk));
      }
      update.onStored(revision);
      listener.onStored(update);
    }

    /** The outcome of what was written is known; a chunk that was split since is never read. */
    private void markCertain() {
      Set<Chunk> remaining = uncertain.getOrDefault(update.name(), new HashSet<>());
      remaining.removeAll(update.sentChunks());
      remaining.removeIf(chunk -> !update.job().chunkLayout().live().contains(chunk));
      if (remaining.isEmpty()) {
        uncertain.remove(update.name());
      }
    }
  }
}
