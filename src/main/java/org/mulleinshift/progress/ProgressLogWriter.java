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
 * Group commit of progress: the changes of all jobs go into few values of the log. What nobody
 * waits for is delayed for a moment, so that it shares a value with what comes next.
 */
final class ProgressLogWriter implements TransactionBatcher.Mutation {
  /** Less than a scheduling cycle: what ends is stored with what the next cycle starts. */
  private static final Duration GROUP_DELAY = Duration.ofMillis(100);

  /** What the writer needs of the other ways in which progress is stored. */
  interface Listener {
    /** Whether the chunk has to be written under its own keys for now. */
    boolean mustUseChunkKeys(String chunkName);

    /** Has a chunk written under its own keys. */
    void writeToChunkKeys(ChunkUpdate update);

    /** The changes of these chunks are stored. */
    void onStored(List<ChunkUpdate> updates);
  }

  private final EventLoop loop;
  private final TransactionBatcher batcher;
  private final ProgressLog log;
  private final int maxSlots;
  private final Listener listener;
  private final Map<String, ChunkUpdate> pending = new LinkedHashMap<>();
  private final Set<String> uncertain = new HashSet<>();
  private List<ChunkUpdate> sent = List.of();
  private ProgressLog.Batch batch;
  private boolean submitPlanned;

  /**
   * A writer for one term.
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

  /** Has the changes of a chunk stored. */
  void add(ChunkUpdate update) {
    pending.putIfAbsent(update.name(), update);
    plan();
  }

  private void plan() {
    if (urgent()) {
      batcher.submit(StoreKeys.PROGRESS_LOG, this);
    } else if (!submitPlanned && !pending.isEmpty()) {
      submitPlanned = true;
      loop.after(
          GROUP_DELAY,
          () -> {
            submitPlanned = false;
            if (!pending.isEmpty()) {
              batcher.submit(StoreKeys.PROGRESS_LOG, this);
            }
          });
    }
  }

  /** Whether a write of the chunk to the log may still be carried out. */
  boolean hasUncertainWrite(String chunkName) {
    return uncertain.contains(chunkName);
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
      // No slot is free: what waits must not wait for one.
      urgentFirst().forEach(this::moveToKeys);
    }
    sent.forEach(update -> uncertain.add(update.name()));
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

  /** Adds the pending chunks of an update; false if the batch is full. */
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

  /** The store accepts less than its limits say: the values of the log become shorter. */
  @Override
  public void onRejected() {
    log.halveSegmentLength();
    batcher.submit(StoreKeys.PROGRESS_LOG, this);
  }

  @Override
  public void onCommitted(Revision revision) {
    log.markStored(batch);
    uncertain.clear();
    List<ChunkUpdate> stored = sent;
    sent = List.of();
    for (ChunkUpdate update : stored) {
      update.onStored(revision);
      if (!update.hasPendingChunks()) {
        pending.remove(update.name());
      }
    }
    listener.onStored(stored);
    plan();
  }
}
