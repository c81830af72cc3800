package org.mulleinshift.progress;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored progress and ends of jobs, as the leader writes them.
 *
 * <p>Progress goes to the log once all controllers have published a feature level that reads it;
 * before that, and where the log does not serve, to keys of each job, in chunks as every build
 * reads them. A chunk too long for a value is split, but only once all controllers read split
 * chunks: an older build would take a job's done tasks in them for waiting ones.
 */
public final class ProgressPersister {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressPersister.class);

  /**
   * Used share of a value's maximum length: the store may count its bytes in a form with spaces.
   */
  private static final double USED_OF_VALUE = 0.85;

  /** Bytes that one transaction writes to the log at most; the rest is for its other writes. */
  private static final int LOG_BYTES_PER_TRANSACTION = 44_000;

  private final EventLoop loop;
  private final JobDirectory jobs;
  private final ShardTable shards;
  private final UnreadableJobs unreadable;
  private final FeatureGates featureGates;
  private final ProgressListener listener;
  private final TransactionBatcher batcher;
  private final int valueBytes;
  private final boolean limitsWillShrink;
  private final ProgressLog log;
  private final ProgressLogWriter logWriter;
  private final ChunkKeyWriter keyWriter;
  private final ProgressLoader loader;
  private final PendingEnds pendingEnds;
  private final boolean logEnabled;
  private boolean useLog;

  /** A persister for one term. */
  public ProgressPersister(
      EventLoop loop,
      TransactionBatcher batcher,
      JobDirectory jobs,
      ShardTable shards,
      UnreadableJobs unreadable,
      ProgressListener listener,
      ProgressSettings settings) {
    this.loop = loop;
    this.batcher = batcher;
    this.jobs = jobs;
    this.shards = shards;
    this.unreadable = unreadable;
    this.listener = listener;
    this.featureGates = settings.featureGates();
    this.logEnabled = settings.logEnabled();
    PlatformSettings.StoreLimits limits = settings.limits();
    // Else no build has stored anything longer than what fits.
    this.limitsWillShrink = limits.minValueBytes() < limits.valueBytes();
    this.valueBytes = (int) (USED_OF_VALUE * limits.minValueBytes());
    this.log = new ProgressLog(valueBytes);
    int maxOps = settings.maxOperations();
    int slots = Math.max(1, Math.min(maxOps / 2, LOG_BYTES_PER_TRANSACTION / valueBytes));
    this.logWriter = new ProgressLogWriter(loop, batcher, log, slots, new LogListener());
    this.keyWriter = new ChunkKeyWriter(batcher, log, valueBytes, maxOps, new KeyListener());
    this.pendingEnds = new PendingEnds(loop, batcher.term());
    this.loader = new ProgressLoader(jobs, shards, unreadable, batcher, log, keyWriter::deleteKey);
  }

  /** Reads what is stored, before anything is written. */
  public ProgressLoader loader() {
    return loader;
  }

  /**
   * Adopts what all controllers support by now. Once they read split chunks, what an older build
   * stored longer than the coming limits allow is rewritten in parts, when nothing else waits. Once
   * they read the log, progress goes there, unless the operators have switched it off: then what is
   * there moves back to keys. The cluster may stay at any of these steps.
   */
  public void maintain() {
    if (!keyWriter.isSplittingAllowed() && featureGates.allSupport(FeatureGates.SPLIT_CHUNKS)) {
      keyWriter.allowSplitting();
      jobs.activeJobs().forEach(this::rewriteOversized);
    }
    if (!useLog && logEnabled && featureGates.allSupport(FeatureGates.PROGRESS_LOG)) {
      useLog = true;
    }
    if (!logEnabled) {
      migrateFromLog();
    }
    pendingEnds.logDelay();
  }

  /** The way back to an earlier build, which does not read the log. */
  private void migrateFromLog() {
    migrateToKeys(log.live());
    if (log.idle()) {
      List<String> remaining = log.keys().stream().filter(batcher::hasRevision).toList();
      remaining.forEach(keyWriter::deleteKey);
      if (!remaining.isEmpty()) {
        LOG.info("progress log removed, slots={}", remaining.size());
      }
    }
  }

  private void rewriteOversized(Job job) {
    List<Chunk> oversized = new ArrayList<>(job.chunkLayout().unstoredParts());
    for (Chunk chunk : List.copyOf(job.chunkLayout().live())) {
      // Also what could not be stored before.
      boolean waits = job.assignments(chunk).stream().anyMatch(ProgressPersister::isUnstored);
      if (waits
          || (limitsWillShrink
              && StoreCodec.encodedLength(job.progressValue(chunk)) > valueBytes)) {
        oversized.add(chunk);
      }
    }
    oversized.forEach(chunk -> writeWhenIdle(job, chunk));
  }

  private static boolean isUnstored(TaskAssignment assignment) {
    return assignment.state() == TaskAssignment.State.WRITING
        || assignment.state() == TaskAssignment.State.ENDED;
  }

  private void writeWhenIdle(Job job, Chunk chunk) {
    job.chunkLayout().markDirty(chunk);
    keyWriter.writeWhenIdle(updateOf(job, chunk));
  }

  private ChunkUpdate updateOf(Job job, Chunk chunk) {
    return new ChunkUpdate(shards, unreadable, loop, job, chunk.number());
  }

  /** Has the progress of a task stored; nothing waits for it. */
  public void store(Job job, int taskIndex) {
    Chunk chunk = job.chunkOf(taskIndex);
    job.chunkLayout().markDirty(chunk);
    store(updateOf(job, chunk));
  }

  /** Has the progress of a task stored, whose start waits for that. */
  public void storeUrgently(Job job, int taskIndex) {
    Chunk chunk = job.chunkOf(taskIndex);
    job.chunkLayout().markDirtyUrgently(chunk);
    store(updateOf(job, chunk));
  }

  private void store(ChunkUpdate update) {
    if (useLog && !keyWriter.isUncertain(update.name())) {
      logWriter.add(update);
    } else {
      keyWriter.write(update);
    }
  }

  /** After chunks were stored: what is no longer read is deleted, and the job may end. */
  private void cleanUp(ChunkUpdate update) {
    update.obsoleteChunks().forEach(chunk -> keyWriter.delete(update.job(), chunk));
    listener.onProgressStored(update.job());
  }

  /** Keeps the log short: what a new leader reads is bounded by what is live in it. */
  private void compact() {
    rewrite(log.toCompact(), (job, chunk) -> store(updateOf(job, chunk)));
    migrateToKeys(log.toMoveOut());
  }

  private void migrateToKeys(List<ProgressLog.ChunkImage> images) {
    rewrite(images, this::writeWhenIdle);
  }

  /** Images of jobs that this build can't read any more stay where they are. */
  private void rewrite(List<ProgressLog.ChunkImage> images, BiConsumer<Job, Chunk> writer) {
    for (ProgressLog.ChunkImage image : images) {
      Optional<Job> job = jobs.findJob(image.job());
      if (job.isPresent()) {
        job.get().chunkLayout().markDirty(image.chunk());
        writer.accept(job.get(), image.chunk());
      } else {
        log.pinSlotOf(image);
      }
    }
  }

  /**
   * The record of a job was changed, by a cancellation: an end that waits to be stored demands the
   * new revision. With the old one its whole transaction would fail, and the store counts the
   * writes of a transaction that fails.
   */
  public void onRecordChanged(Job job) {
    if (job.state() == Job.State.ENDING) {
      recordRevision(job);
    }
  }

  private void recordRevision(Job job) {
    batcher.recordRevision(StoreKeys.activeJob(job.spec().id()), job.revision());
  }

  /** Has the end of a job stored, whose state allows it. */
  public void end(Job job) {
    recordRevision(job);
    batcher.submit(
        StoreKeys.endedJob(job.spec().id()),
        new JobEndMutation(loop, batcher, unreadable, log, keyWriter, listener, job));
    pendingEnds.add(job);
    job.beginEnding();
  }

  /** Connects the log's writer with the keys. */
  private final class LogListener implements ProgressLogWriter.Listener {
    @Override
    public boolean mustUseKeys(String chunkName) {
      return keyWriter.isUncertain(chunkName);
    }

    @Override
    public void writeToKeys(ChunkUpdate update) {
      keyWriter.write(update);
    }

    @Override
    public void onStored(List<ChunkUpdate> updates) {
      updates.forEach(ProgressPersister.this::cleanUp);
      compact();
    }
  }

  /** Connects the writer of keys with the log. */
  private final class KeyListener implements ChunkKeyWriter.Listener {
    @Override
    public boolean isUncertainInLog(String chunkName) {
      return logWriter.uncertain(chunkName);
    }

    @Override
    public void onStored(ChunkUpdate update) {
      if (update.hasPending()) {
        store(update);
      }
      cleanUp(update);
    }
  }
}
