package org.mulleinshift.progress;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;

/**
 * Group commit of progress: what has changed of all jobs goes into few values of the log. What
 * nobody waits for is held back for a moment, so that it shares a value with what comes next.
 */
final class ProgressLogWriter implements TransactionBatcher.Mutation {
  /** Less than a scheduling cycle: what ends is stored with what the next cycle starts. */
  private static final Duration LINGER = Duration.ofMillis(100);

  /** What the writer asks of those who keep the progress of jobs. */
  interface Listener {
    /** Whether the chunk has to be written under its own keys for now. */
    boolean mustUseKeys(String chunk);

    /** Has a chunk written under its own keys. */
    void writeToKeys(ChunkUpdate progress);

    /** The changes of these chunks are stored. */
    void onStored(List<ChunkUpdate> progress);
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
  private boolean planned;

  /**
   * A writer to the log.
   *
   * @param mostSlots values of a transaction at most
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
  void add(ChunkUpdate progress) {
    pending.putIfAbsent(progress.name(), progress);
    plan();
  }

  private void plan() {
    if (urgent()) {
      batcher.submit(StoreKeys.PROGRESS_LOG, this);
    } else if (!planned && !pending.isEmpty()) {
      planned = true;
      loop.after(
          LINGER,
          () -> {
            planned = false;
            if (!pending.isEmpty()) {
              batcher.submit(StoreKeys.PROGRESS_LOG, this);
            }
          });
    }
  }

  /** Whether a write of the chunk to the log may still be carried out. */
  boolean uncertain(String name) {
    return uncertain.contains(name);
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
    batch = log.begin(maxSlots);
    sent = new ArrayList<>();
    for (ChunkUpdate progress : urgentFirst()) {
      if (listener.mustUseKeys(progress.name())) {
        moveToKeys(progress);
      } else if (!addToBatch(progress)) {
        break;
      }
    }
    if (batch.empty()) {
      // No slot is free: what waits must not wait for one.
      urgentFirst().forEach(this::moveToKeys);
    }
    sent.forEach(progress -> uncertain.add(progress.name()));
    return batch.writes();
  }

  private void moveToKeys(ChunkUpdate progress) {
    pending.remove(progress.name());
    listener.writeToKeys(progress);
  }

  private List<ChunkUpdate> urgentFirst() {
    List<ChunkUpdate> order = new ArrayList<>();
    pending.values().stream().filter(ChunkUpdate::urgent).forEach(order::add);
    pending.values().stream().filter(progress -> !progress.urgent()).forEach(order::add);
    return order;
  }

  /** False if the batch is full. */
  private boolean addToBatch(ChunkUpdate progress) {
    List<ChunkUpdate.EncodedChunk> chosen = new ArrayList<>();
    boolean full = false;
    boolean unfit = false;
    for (ChunkUpdate.EncodedChunk form : progress.encode(log.longestProgress(), true)) {
      LogSegment.Entry entry =
          LogSegment.Entry.of(
              progress.job().spec().id(), form.chunk(), form.progress(), form.bytes());
      boolean fits = entry.bytes() <= log.longestEntry();
      boolean taken = fits && batch.add(entry);
      if (taken) {
        chosen.add(form);
      }
      unfit |= !fits;
      full |= fits && !taken;
    }
    progress.markSent(chosen);
    if (!chosen.isEmpty()) {
      sent.add(progress);
    } else if (!full && !uncertain(progress.name())) {
      pending.remove(progress.name());
      if (unfit) {
        listener.writeToKeys(progress);
      }
    }
    return !full;
  }

  /** The service takes less than its limits say: shorter values, and keys of each job beside. */
  @Override
  public void onRejected() {
    log.shorten();
    batcher.submit(StoreKeys.PROGRESS_LOG, this);
  }

  @Override
  public void onCommitted(Revision revision) {
    log.stored(batch);
    uncertain.clear();
    List<ChunkUpdate> stored = sent;
    sent = List.of();
    for (ChunkUpdate progress : stored) {
      progress.onStored(revision);
      if (!progress.hasPending()) {
        pending.remove(progress.name());
      }
    }
    listener.onStored(stored);
    plan();
  }
}
