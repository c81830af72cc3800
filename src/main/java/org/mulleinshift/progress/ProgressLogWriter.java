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
final class ProgressLogWriter implements TransactionBatcher.Unit {
  /** Less than a scheduling cycle: what ends is stored with what the next cycle starts. */
  private static final Duration LINGER = Duration.ofMillis(100);

  /** What the writer asks of those who keep the progress of jobs. */
  interface Listener {
    /** Whether the chunk has to be written under its own keys for now. */
    boolean needsKeys(String chunk);

    /** Has a chunk written under its own keys. */
    void writeByKeys(ChunkUpdate progress);

    /** The changes of these chunks are stored. */
    void stored(List<ChunkUpdate> progress);
  }

  private final EventLoop loop;
  private final TransactionBatcher batcher;
  private final ProgressLog log;
  private final int maxSlots;
  private final Listener listener;
  private final Map<String, ChunkUpdate> pending = new LinkedHashMap<>();
  private final Set<String> inDoubt = new HashSet<>();
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
    if (pressing()) {
      batcher.submit(StoreKeys.LOG, this);
    } else if (!planned && !pending.isEmpty()) {
      planned = true;
      loop.after(
          LINGER,
          () -> {
            planned = false;
            if (!pending.isEmpty()) {
              batcher.submit(StoreKeys.LOG, this);
            }
          });
    }
  }

  /** Whether a write of the chunk to the log may still be carried out. */
  boolean inDoubt(String name) {
    return inDoubt.contains(name);
  }

  @Override
  public boolean pressing() {
    return pending.values().stream().anyMatch(ChunkUpdate::pressing);
  }

  @Override
  public boolean first() {
    return true;
  }

  @Override
  public List<Write> writes() {
    batch = log.begin(maxSlots);
    sent = new ArrayList<>();
    for (ChunkUpdate progress : inTurn()) {
      if (listener.needsKeys(progress.name())) {
        moveToKeys(progress);
      } else if (!take(progress)) {
        break;
      }
    }
    if (batch.empty()) {
      // No slot is free: what waits must not wait for one.
      inTurn().forEach(this::moveToKeys);
    }
    sent.forEach(progress -> inDoubt.add(progress.name()));
    return batch.writes();
  }

  private void moveToKeys(ChunkUpdate progress) {
    pending.remove(progress.name());
    listener.writeByKeys(progress);
  }

  private List<ChunkUpdate> inTurn() {
    List<ChunkUpdate> order = new ArrayList<>();
    pending.values().stream().filter(ChunkUpdate::pressing).forEach(order::add);
    pending.values().stream().filter(progress -> !progress.pressing()).forEach(order::add);
    return order;
  }

  /** False if the batch is full. */
  private boolean take(ChunkUpdate progress) {
    List<ChunkUpdate.Form> chosen = new ArrayList<>();
    boolean full = false;
    boolean unfit = false;
    for (ChunkUpdate.Form form : progress.forms(log.longestProgress(), true)) {
      LogSegment.Entry entry =
          LogSegment.Entry.of(
              progress.job().spec().id(), form.part(), form.progress(), form.bytes());
      boolean fits = entry.bytes() <= log.longestEntry();
      boolean taken = fits && batch.add(entry);
      if (taken) {
        chosen.add(form);
      }
      unfit |= !fits;
      full |= fits && !taken;
    }
    progress.sent(chosen);
    if (!chosen.isEmpty()) {
      sent.add(progress);
    } else if (!full && !inDoubt(progress.name())) {
      pending.remove(progress.name());
      if (unfit) {
        listener.writeByKeys(progress);
      }
    }
    return !full;
  }

  /** The service takes less than its limits say: shorter values, and keys of each job beside. */
  @Override
  public void unfit() {
    log.shorten();
    batcher.submit(StoreKeys.LOG, this);
  }

  @Override
  public void committed(Revision revision) {
    log.stored(batch);
    inDoubt.clear();
    List<ChunkUpdate> stored = sent;
    sent = List.of();
    for (ChunkUpdate progress : stored) {
      progress.stored(revision);
      if (!progress.waits()) {
        pending.remove(progress.name());
      }
    }
    listener.stored(stored);
    plan();
  }
}
