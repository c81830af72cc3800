package org.mulleinshift.progress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.ChunkKey;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored progress and ends of jobs, as the leader writes them. Progress goes to the log once
 * all controllers have shown a build that reads it; before that, and where the log does not serve,
 * to keys of each job, in chunks as every build reads them. A chunk too long for a value is cut
 * into parts, but only once all controllers read parts: an older build would take a job's done
 * tasks in them for waiting ones.
 */
public final class ProgressPersister implements ProgressLogWriter.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressPersister.class);

  /** The service may count a value's bytes in a form with spaces. */
  private static final double USED_OF_VALUE = 0.85;

  /** Bytes of the log that one transaction writes at most: the rest is for what goes with it. */
  private static final int LOG_BYTES = 44_000;

  private final EventLoop loop;
  private final JobDirectory jobs;
  private final ShardTable shards;
  private final UnreadableJobs unreadable;
  private final FeatureGates featureGates;
  private final ProgressListener listener;
  private final TransactionBatcher batcher;
  private final int valueBytes;
  private final boolean limitsWillShrink;
  private final int maxOps;
  private final ProgressLog log;
  private final ProgressLogWriter logWriter;
  private final ProgressLoader loader;

  /** Parts by chunk whose last write under a key of their own may still be carried out. */
  private final Map<String, Set<Chunk>> uncertainKeys = new HashMap<>();

  private final boolean logEnabled;
  private boolean splitAllowed;
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
    this.maxOps = settings.maxOperations();
    PlatformSettings.StoreLimits limits = settings.limits();
    // Else no build has stored anything longer than what fits.
    this.limitsWillShrink = limits.minValueBytes() < limits.valueBytes();
    this.valueBytes = (int) (USED_OF_VALUE * limits.minValueBytes());
    this.log = new ProgressLog(valueBytes);
    int slots = Math.max(1, Math.min(maxOps / 2, LOG_BYTES / valueBytes));
    this.logWriter = new ProgressLogWriter(loop, batcher, log, slots, this);
    this.loader = new ProgressLoader(jobs, shards, unreadable, batcher, log, this::removeKey);
  }

  /** Reads what is stored, before anything is written. */
  public ProgressLoader loader() {
    return loader;
  }

  /**
   * Once all controllers read parts: what an older build stored longer than the limits that come
   * allow is written anew in parts, when nothing else waits. Once they read the log, progress goes
   * there, unless the operators have switched it off: then what is there moves back to keys. Each
   * step may be the last.
   */
  public void maintain() {
    if (!splitAllowed && featureGates.allSupport(FeatureGates.SPLIT_CHUNKS)) {
      splitAllowed = true;
      jobs.activeJobs().forEach(this::rewriteOversized);
    }
    if (!useLog && logEnabled && featureGates.allSupport(FeatureGates.PROGRESS_LOG)) {
      useLog = true;
    }
    if (!logEnabled) {
      migrateFromLog();
    }
  }

  /** The way back to an earlier build, which reads no log. */
  private void migrateFromLog() {
    migrateToKeys(log.live());
    if (log.idle()) {
      List<String> left = log.keys().stream().filter(batcher::hasRevision).toList();
      left.forEach(this::removeKey);
      if (!left.isEmpty()) {
        LOG.info("the progress log is not needed any more: {} slots are removed", left.size());
      }
    }
  }

  private void rewriteOversized(Job job) {
    List<Chunk> open = new ArrayList<>(job.chunks().uncovered());
    for (Chunk part : List.copyOf(job.chunks().live())) {
      // Also what could not be stored before.
      boolean waits =
          job.assignments(part).stream()
              .anyMatch(
                  assignment ->
                      assignment.state() == TaskAssignment.State.WRITING
                          || assignment.state() == TaskAssignment.State.ENDED);
      if (waits || (limitsWillShrink && StoreCodec.bytes(job.progress(part)) > valueBytes)) {
        open.add(part);
      }
    }
    open.forEach(part -> writeWhenIdle(job, part));
  }

  private void writeWhenIdle(Job job, Chunk part) {
    job.chunks().markDirty(part, false);
    ChunkMutation unit = new ChunkMutation(chunkOf(job, part));
    batcher.submitWhenIdle(unit.progress.name(), unit);
  }

  private ChunkUpdate chunkOf(Job job, Chunk part) {
    return new ChunkUpdate(shards, unreadable, loop, job, part.number());
  }

  /** Has the progress of a task stored; pressing if its start waits for that. */
  public void store(Job job, int task, boolean pressing) {
    Chunk part = job.chunkOf(task);
    job.chunks().markDirty(part, pressing);
    store(chunkOf(job, part));
  }

  private void store(ChunkUpdate progress) {
    if (useLog && !mustUseKeys(progress.name())) {
      logWriter.add(progress);
    } else {
      writeToKeys(progress);
    }
  }

  @Override
  public boolean mustUseKeys(String chunk) {
    return uncertainKeys.containsKey(chunk);
  }

  @Override
  public void writeToKeys(ChunkUpdate progress) {
    batcher.submit(progress.name(), new ChunkMutation(progress));
  }

  @Override
  public void onStored(List<ChunkUpdate> stored) {
    stored.forEach(this::cleanUp);
    compact();
  }

  /** After a chunk's changes were stored: what is no longer read goes, and the job may end. */
  private void cleanUp(ChunkUpdate progress) {
    progress.obsoleteChunks().forEach(part -> remove(progress.job(), part));
    listener.onProgressStored(progress.job());
  }

  /** Keeps the log short: what a new leader reads is bounded by what is live in it. */
  private void compact() {
    rewrite(log.toCompact(), (job, part) -> store(chunkOf(job, part)));
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
        job.get().chunks().markDirty(image.chunk(), false);
        writer.accept(job.get(), image.chunk());
      } else {
        log.pinSlotOf(image);
      }
    }
  }

  /** Has the end of a job stored, whose state allows it. */
  public void end(Job job) {
    batcher.recordRevision(StoreKeys.activeJob(job.spec().id()), job.revision());
    batcher.submit(StoreKeys.endedJob(job.spec().id()), new JobEndMutation(job));
    job.beginEnding();
  }

  /** Changed parts of a chunk, each under a key of its own. */
  private final class ChunkMutation implements TransactionBatcher.Mutation {
    private final ChunkUpdate progress;

    ChunkMutation(ChunkUpdate progress) {
      this.progress = progress;
    }

    @Override
    public boolean urgent() {
      return progress.urgent();
    }

    @Override
    public List<Write> writes() {
      if (logWriter.uncertain(progress.name())) {
        // The log's next write takes it along.
        return List.of();
      }
      List<ChunkUpdate.EncodedChunk> chosen =
          progress.encode(valueBytes, splitAllowed).stream().limit(maxOps).toList();
      progress.markSent(chosen);
      List<Write> writes = new ArrayList<>();
      for (ChunkUpdate.EncodedChunk form : chosen) {
        uncertainKeys.computeIfAbsent(progress.name(), key -> new HashSet<>()).add(form.chunk());
        writes.add(Write.put(ChunkKey.format(id(), form.chunk()), form.progress()));
      }
      return writes;
    }

    private JobId id() {
      return progress.job().spec().id();
    }

    @Override
    public void onCommitted(Revision revision) {
      certain();
      for (Chunk part : progress.sentChunks()) {
        log.release(new ProgressLog.ChunkImage(id(), part));
      }
      progress.onStored(revision);
      if (progress.hasPending()) {
        store(progress);
      }
      cleanUp(progress);
    }

    /** What was written is known; a part that was cut since is read for nothing. */
    private void certain() {
      Set<Chunk> doubtful = uncertainKeys.getOrDefault(progress.name(), new HashSet<>());
      doubtful.removeAll(progress.sentChunks());
      doubtful.removeIf(part -> !progress.job().chunks().live().contains(part));
      if (doubtful.isEmpty()) {
        uncertainKeys.remove(progress.name());
      }
    }
  }

  private void remove(Job job, Chunk part) {
    log.release(new ProgressLog.ChunkImage(job.spec().id(), part));
    String key = ChunkKey.format(job.spec().id(), part);
    if (batcher.hasRevision(key)) {
      // Nobody reads it any more: it need not compete with what tasks wait for.
      batcher.submitWhenIdle(key, new DeleteKeyMutation(key, () -> job.chunks().onDeleted(part)));
    } else {
      job.chunks().onDeleted(part);
    }
  }

  /** Has a key deleted that nobody reads any more. */
  void removeKey(String key) {
    batcher.submitWhenIdle(key, new DeleteKeyMutation(key));
  }

  /** The end of a job: from here on users hear done or cancelled, and jobs that await it may go. */
  private final class JobEndMutation implements TransactionBatcher.Mutation {
    private final Job job;
    private List<TaskAssignment> left = List.of();
    private long atMillis;

    JobEndMutation(Job job) {
      this.job = job;
    }

    @Override
    public List<Write> writes() {
      JobId id = job.spec().id();
      if (unreadable.contains(id)) {
        return List.of();
      }
      atMillis = loop.wallMillis();
      List<Write> writes = new ArrayList<>();
      writes.add(Write.delete(StoreKeys.activeJob(id)));
      writes.add(
          Write.put(StoreKeys.endedJob(id), JobRecord.endedValue(job.terminalPhase(), atMillis)));
      left = List.copyOf(job.assignments());
      return writes;
    }

    @Override
    public void onReread(String key, Optional<KeyValue> item) {
      if (key.equals(StoreKeys.activeJob(job.spec().id()))) {
        item.flatMap(JobRecord::read).ifPresent(job::update);
      }
    }

    @Override
    public void onCommitted(Revision revision) {
      JobId id = job.spec().id();
      LOG.info("job {} {}: {}", id, job.terminalPhase().wire(), job.summary(atMillis));
      List.copyOf(job.chunks().stored()).forEach(part -> remove(job, part));
      for (int list = 0; list < job.dependencies().lists(); list++) {
        String key = StoreKeys.dependencyList(id, job.dependencies().digest(), list);
        if (batcher.hasRevision(key)) {
          removeKey(key);
        }
      }
      log.release(id);
      forgetUncertainWrites(job);
      job.finishEnding();
      batcher.forgetRevision(StoreKeys.endedJob(id));
      listener.onJobEnded(job, left, atMillis);
    }
  }

  /** A late write of a job that is over is read for nothing. */
  private void forgetUncertainWrites(Job job) {
    for (Chunk part : job.chunks().live()) {
      uncertainKeys.remove(ChunkUpdate.name(job, part.number()));
    }
  }

  /** A key that is no longer needed. */
  private record DeleteKeyMutation(String key, Runnable then)
      implements TransactionBatcher.Mutation {
    DeleteKeyMutation(String key) {
      this(key, () -> {});
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.delete(key));
    }

    @Override
    public void onCommitted(Revision revision) {
      LOG.debug("removed {}", key);
      then.run();
    }
  }
}
