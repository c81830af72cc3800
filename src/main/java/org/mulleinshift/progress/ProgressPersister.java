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
 * Stores the progress and the ends of jobs for the leader.
 *
 * <p>Progress goes to the log once all controllers have published a feature level that reads it.
 * Before that, and where the log can't be used, it goes to the keys of each job's chunks, in a form
 * that every build reads. A chunk too long for a value is split, but only once all controllers read
 * split chunks: an older build would take a job's done tasks in them for waiting ones.
 */
public final class ProgressPersister {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressPersister.class);

  /**
   * Used share of a value's maximum length: the store may count the bytes of an encoding with
   * spaces.
   */
  private static final double USED_VALUE_SHARE = 0.85;

  /** Maximum bytes that a transaction writes to the log, so that other writes fit into it too. */
  private static final int MAX_LOG_BYTES_PER_TRANSACTION = 44_000;

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
  private final PendingJobEnds pendingJobEnds;
  private final boolean logEnabled;
  private boolean useLog;

  /** Creates a persister for one term. */
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
    // If the limits don't shrink, no build has stored a value longer than they allow.
    this.limitsWillShrink = limits.lowestMaxValueBytes() < limits.maxValueBytes();
    this.valueBytes = (int) (USED_VALUE_SHARE * limits.lowestMaxValueBytes());
    this.log = new ProgressLog(valueBytes);
    int maxOps = settings.maxOperations();
    int slots = Math.max(1, Math.min(maxOps / 2, MAX_LOG_BYTES_PER_TRANSACTION / valueBytes));
    this.logWriter = new ProgressLogWriter(loop, batcher, log, slots, new LogListener());
    this.keyWriter = new ChunkKeyWriter(batcher, log, valueBytes, maxOps, new KeyListener());
    this.pendingJobEnds = new PendingJobEnds(loop, batcher.term());
    this.loader = new ProgressLoader(jobs, shards, unreadable, batcher, log, keyWriter::deleteKey);
  }

  /** Returns the loader that reads the stored progress before anything is written. */
  public ProgressLoader loader() {
    return loader;
  }

  /**
   * Adopts the stored forms that all controllers support by now, and logs job ends that wait for
   * long. Once all controllers read split chunks, values of an older build that are longer than the
   * coming limits allow are rewritten in parts, when nothing else is pending. Once they read the
   * log, progress goes there, unless the operators have switched it off: then what is there moves
   * back to chunk keys. A cluster may stay at any of these steps.
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
    pendingJobEnds.logIfDelayed();
  }

  /**
   * Moves progress from the log to chunk keys, then deletes the log: prepares the return to an
   * earlier build, which does not read it.
   */
  private void migrateFromLog() {
    migrateToChunkKeys(log.liveChunks());
    if (log.isUnused()) {
      List<String> remaining = log.slotKeys().stream().filter(batcher::hasRevision).toList();
      remaining.forEach(keyWriter::deleteKey);
      if (!remaining.isEmpty()) {
        LOG.info("progress log removed, slots={}", remaining.size());
      }
    }
  }

  private void rewriteOversized(Job job) {
    List<Chunk> oversized = new ArrayList<>(job.chunkLayout().unstoredParts());
    for (Chunk chunk : List.copyOf(job.chunkLayout().live())) {
      // Also rewrites chunks with changes that could not be stored before.
      boolean hasUnstoredChanges =
          job.assignments(chunk).stream().anyMatch(ProgressPersister::isUnstored);
      if (hasUnstoredChanges
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

  /** Submits the progress of a task to be stored; nothing waits for it. */
  public void store(Job job, int taskIndex) {
    Chunk chunk = job.chunkOf(taskIndex);
    job.chunkLayout().markDirty(chunk);
    store(updateOf(job, chunk));
  }

  /** Submits the progress of a task to be stored urgently: the start of the task waits for it. */
  public void storeUrgently(Job job, int taskIndex) {
    Chunk chunk = job.chunkOf(taskIndex);
    job.chunkLayout().markDirtyUrgently(chunk);
    store(updateOf(job, chunk));
  }

  private void store(ChunkUpdate update) {
    if (useLog && !keyWriter.hasUncertainWrite(update.name())) {
      logWriter.add(update);
    } else {
      keyWriter.write(update);
    }
  }

  /** Deletes chunks that those just stored made obsolete; then the job may end. */
  private void cleanUp(ChunkUpdate update) {
    update.obsoleteChunks().forEach(chunk -> keyWriter.delete(update.job(), chunk));
    listener.onProgressStored(update.job());
  }

  /** Compacts the log, so that its live entries bound how much a new leader reads. */
  private void compact() {
    rewrite(log.chunksToCompact(), (job, chunk) -> store(updateOf(job, chunk)));
    migrateToChunkKeys(log.chunksToMigrate());
  }

  private void migrateToChunkKeys(List<ProgressLog.ChunkId> chunkIds) {
    rewrite(chunkIds, this::writeWhenIdle);
  }

  /** Rewrites chunks that are in the log; those of quarantined jobs stay, in pinned slots. */
  private void rewrite(List<ProgressLog.ChunkId> chunkIds, BiConsumer<Job, Chunk> writer) {
    for (ProgressLog.ChunkId chunkId : chunkIds) {
      Optional<Job> job = jobs.findJob(chunkId.job());
      if (job.isPresent()) {
        job.get().chunkLayout().markDirty(chunkId.chunk());
        writer.accept(job.get(), chunkId.chunk());
      } else {
        log.pinSlotOf(chunkId);
      }
    }
  }

  /**
   * Makes a job end that waits to be stored expect the new revision of the job's record, after a
   * cancellation changed the record. With the old revision its whole transaction would fail, and
   * the store counts the writes of a failed transaction too.
   */
  public void onRecordChanged(Job job) {
    if (job.state() == Job.State.ENDING) {
      recordRevision(job);
    }
  }

  private void recordRevision(Job job) {
    batcher.recordRevision(StoreKeys.activeJob(job.spec().id()), job.revision());
  }

  /** Submits the end of a job to be stored; the caller has checked that the job may end. */
  public void storeJobEnd(Job job) {
    recordRevision(job);
    batcher.submit(
        StoreKeys.endedJob(job.spec().id()),
        new JobEndMutation(loop, batcher, unreadable, log, keyWriter, listener, job));
    pendingJobEnds.add(job);
    job.beginEnding();
  }

  /** Connects the writer of the log with the chunk keys. */
  private final class LogListener implements ProgressLogWriter.Listener {
    @Override
    public boolean mustUseChunkKeys(String chunkName) {
      return keyWriter.hasUncertainWrite(chunkName);
    }

    @Override
    public void writeToChunkKeys(ChunkUpdate update) {
      keyWriter.write(update);
    }

    @Override
    public void onStored(List<ChunkUpdate> updates) {
      updates.forEach(ProgressPersister.this::cleanUp);
      compact();
    }
  }

  /** Connects the writer of chunk keys with the log. */
  private final class KeyListener implements ChunkKeyWriter.Listener {
    @Override
    public boolean hasUncertainLogWrite(String chunkName) {
      return logWriter.hasUncertainWrite(chunkName);
    }

    @Override
    public void onStored(ChunkUpdate update) {
      if (update.hasPendingChunks()) {
        store(update);
      }
      cleanUp(update);
    }
  }
}
