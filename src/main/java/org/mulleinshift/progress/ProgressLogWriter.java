package org.mulleinshift.progress;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;

/**
 * Group commit of progress: writes the changes of all jobs to few values of the log. Changes that
 * no task waits for are delayed briefly, so that they share a value with later ones.
 */
final class ProgressLogWriter implements TransactionBatcher.Mutation {
  /**
   * Delay of changes that no task waits for. Shorter than a scheduling cycle: task ends are stored
   * together with the assignments of the next cycle.
   */
  private static final Duration GROUP_DELAY = Duration.ofMillis(100);

  /** Connects this writer with the writer of chunk keys. */
  interface Listener {
    /** Whether the chunk must be written under its own keys for now. */
    boolean mustUseChunkKeys(String chunkName);

    /** Submits a chunk to be written under its own keys. */
    void writeToChunkKeys(ChunkUpdate update);

    /** Called when the changes of these chunks are stored. */
    void onStored(List<ChunkUpdate> updates);
  }

  private final EventLoop loop;
  private final TransactionBatcher batcher;
  private final ProgressLog log;
  private final int maxSlots;
  private final Listener listener;
  private final Map<String, ChunkUpdate> pending = new LinkedHashMap<>();
  private final Set<String> uncertainChunks = new HashSet<>();
  private List<ChunkUpdate> sent = List.of();
  private ProgressLog.Batch batch;
  private boolean submitScheduled;

  /**
   * Creates a writer for one term.
   *
   * @param maxSlots maximum number of log values of a transaction
   */
  ProgressLogWriter(
      EventLoop loop,
      TransactionBatcher batcher,
      ProgressLog log,
      int maxSlots,
      Listener listener) {
    this.loop = loop;
    this.batcher = batcher;
    this.log = log;
    this.maxSlots = maxSlots;
    this.listener = listener;
  }

  /** Queues the changes of a chunk for the next write to the log. */
  void add(ChunkUpdate update) {
    pending.putIfAbsent(update.name(), update);
    scheduleSubmit();
  }

  private void scheduleSubmit() {
    if (urgent()) {
      batcher.submit(StoreKeys.PROGRESS_LOG, this);
    } else if (!submitScheduled && !pending.isEmpty()) {
      submitScheduled = true;
      loop.after(
          GROUP_DELAY,
          () -> {
            submitScheduled = false;
            if (!pending.isEmpty()) {
              batcher.submit(StoreKeys.PROGRESS_LOG, this);
            }
          });
    }
  }

  /** Whether the outcome of a write of the chunk to the log is uncertain. */
  boolean hasUncertainWrite(String chunkName) {
    return uncertainChunks.contains(chunkName);
  }

  @Override
  public boolean urgent() {
    return pending.values().stream().anyMatch(ChunkUpdate::urgent);
  }

  @Override
  public boolean takesPrecedence() {
    return true;
  }

  @Override
  public List<Write> writes() {
    batch = log.beginBatch(maxSlots);
    sent = new ArrayList<>();
    for (ChunkUpdate update : urgentFirst()) {
      if (listener.mustUseChunkKeys(update.name())) {
        moveToKeys(update);
      } else if (!addToBatch(update)) {
        break;
      }
    }
    if (batch.isEmpty()) {
      // No slot is free: pending chunks go to their own keys rather than wait for one.
      urgentFirst().forEach(this::moveToKeys);
    }
    sent.forEach(update -> uncertainChunks.add(update.name()));
    return batch.writes();
  }

  private void moveToKeys(ChunkUpdate update) {
    pending.remove(update.name());
    listener.writeToChunkKeys(update);
  }

  private List<ChunkUpdate> urgentFirst() {
    List<ChunkUpdate> order = new ArrayList<>();
    pending.values().stream().filter(ChunkUpdate::urgent).forEach(order::add);
    pending.values().stream().filter(update -> !update.urgent()).forEach(order::add);
    return order;
  }

  /** Adds the pending chunks of an update; returns false if the batch is full. */
  private boolean addToBatch(ChunkUpdate update) {
    List<ChunkUpdate.EncodedChunk> chosen = new ArrayList<>();
    boolean full = false;
    boolean tooLong = false;
    for (ChunkUpdate.EncodedChunk encoded : update.encode(log.maxProgressBytes(), true)) {
      LogSegment.Entry entry = entry(update, encoded);
      boolean fits = entry.bytes() <= log.maxEntryBytes();
      boolean added = fits && batch.add(entry);
      if (added) {
        chosen.add(encoded);
      }
      tooLong |= !fits;
      full |= fits && !added;
    }
    update.markSent(chosen);
    if (!chosen.isEmpty()) {
      sent.add(update);
    } else if (!full && !hasUncertainWrite(update.name())) {
      pending.remove(update.name());
      if (tooLong) {
        listener.writeToChunkKeys(update);
      }
    }
    return !full;
  }

  private static LogSegment.Entry entry(ChunkUpdate update, ChunkUpdate.EncodedChunk encoded) {
    JobId job = update.job().spec().id();
    return LogSegment.Entry.of(job, encoded.chunk(), encoded.progress(), encoded.bytes());
  }

  /** Retries with shorter values: the store accepts less than its stated limits. */
  @Override
  public void onRejected() {
    log.halveSegmentLength();
    batcher.submit(StoreKeys.PROGRESS_LOG, this);
  }

  @Override
  public void onCommitted(Revision revision) {
    log.markStored(batch);
    uncertainChunks.clear();
    List<ChunkUpdate> stored = sent;
    sent = List.of();
    for (ChunkUpdate update : stored) {
      update.onStored(revision);
      if (!update.hasPendingChunks()) {
        pending.remove(update.name());
      }
    }
    listener.onStored(stored);
    scheduleSubmit();
  }
}
