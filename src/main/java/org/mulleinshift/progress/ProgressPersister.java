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
import org.mulleinshift.leader.Leader;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
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

  private final Leader leader;
  private final Leader.Surroundings context;
  private final TransactionBatcher batcher;
  private final int valueBytes;
  private final boolean limitsFall;
  private final int maxOps;
  private final ProgressLog log;
  private final ProgressLogWriter logWriter;
  private final ProgressLoader loader;

  /** Parts by chunk whose last write under a key of their own may still be carried out. */
  private final Map<String, Set<Chunk>> keysInDoubt = new HashMap<>();

  private boolean partsAllowed;
  private boolean logging;

  public ProgressPersister(
      Leader leader, Leader.Surroundings context, TransactionBatcher batcher, int maxOps) {
    this.leader = leader;
    this.context = context;
    this.batcher = batcher;
    this.maxOps = maxOps;
    PlatformSettings.State limits = context.settings().cluster().state();
    // Else no build has stored anything longer than what fits.
    this.limitsFall = limits.minValueBytes() < limits.valueBytes();
    this.valueBytes = (int) (USED_OF_VALUE * limits.minValueBytes());
    this.log = new ProgressLog(valueBytes);
    int slots = Math.max(1, Math.min(maxOps / 2, LOG_BYTES / valueBytes));
    this.logWriter = new ProgressLogWriter(context.loop(), batcher, log, slots, this);
    this.loader = new ProgressLoader(leader, batcher, log);
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
  public void upkeep() {
    if (!partsAllowed && context.builds().all(FeatureGates.PARTS)) {
      partsAllowed = true;
      leader.jobs().values().forEach(this::convert);
    }
    boolean wanted = context.tunables().number(Tunables.Key.PROGRESS_LOG) > 0;
    if (!logging && wanted && context.builds().all(FeatureGates.PROGRESS_LOG)) {
      logging = true;
    }
    if (!wanted) {
      leaveLog();
    }
  }

  /** The way back to an earlier build, which reads no log. */
  private void leaveLog() {
    moveToKeys(log.live());
    if (log.idle()) {
      List<String> left = log.keys().stream().filter(batcher::knows).toList();
      left.forEach(this::removeKey);
      if (!left.isEmpty()) {
        LOG.info("the progress log is not needed any more: {} slots are removed", left.size());
      }
    }
  }

  private void convert(Job job) {
    List<Chunk> open = new ArrayList<>(job.parts().uncovered());
    for (Chunk part : List.copyOf(job.parts().live())) {
      // Also what could not be stored before.
      boolean waits =
          job.assignments(part).stream()
              .anyMatch(
                  assignment ->
                      assignment.state() == TaskAssignment.State.WRITING
                          || assignment.state() == TaskAssignment.State.ENDED);
      if (waits || (limitsFall && StoreCodec.bytes(job.progress(part)) > valueBytes)) {
        open.add(part);
      }
    }
    open.forEach(part -> writeWhenIdle(job, part));
  }

  private void writeWhenIdle(Job job, Chunk part) {
    job.parts().changed(part, false);
    KeyedUnit unit = new KeyedUnit(chunkOf(job, part));
    batcher.submitIdle(unit.progress.name(), unit);
  }

  private ChunkUpdate chunkOf(Job job, Chunk part) {
    return new ChunkUpdate(leader, context.loop(), job, part.chunk());
  }

  /** Has the progress of a task stored; pressing if its start waits for that. */
  public void store(Job job, int task, boolean pressing) {
    Chunk part = job.partOf(task);
    job.parts().changed(part, pressing);
    store(chunkOf(job, part));
  }

  private void store(ChunkUpdate progress) {
    if (logging && !needsKeys(progress.name())) {
      logWriter.add(progress);
    } else {
      writeByKeys(progress);
    }
  }

  @Override
  public boolean needsKeys(String chunk) {
    return keysInDoubt.containsKey(chunk);
  }

  @Override
  public void writeByKeys(ChunkUpdate progress) {
    batcher.submit(progress.name(), new KeyedUnit(progress));
  }

  @Override
  public void stored(List<ChunkUpdate> stored) {
    stored.forEach(this::cleanUp);
    compact();
  }

  /** After a chunk's changes were stored: what is no longer read goes, and the job may end. */
  private void cleanUp(ChunkUpdate progress) {
    progress.outgrown().forEach(part -> remove(progress.job(), part));
    leader.settle(progress.job());
    leader.cycleSoon();
  }

  /** Keeps the log short: what a new leader reads is bounded by what is live in it. */
  private void compact() {
    rewrite(log.toCompact(), (job, part) -> store(chunkOf(job, part)));
    moveToKeys(log.toMoveOut());
  }

  private void moveToKeys(List<ProgressLog.Image> images) {
    rewrite(images, this::writeWhenIdle);
  }

  /** Images of jobs that this build can't read any more stay where they are. */
  private void rewrite(List<ProgressLog.Image> images, BiConsumer<Job, Chunk> writer) {
    for (ProgressLog.Image image : images) {
      Optional<Job> job = leader.known(image.job());
      if (job.isPresent()) {
        job.get().parts().changed(image.part(), false);
        writer.accept(job.get(), image.part());
      } else {
        log.keep(image);
      }
    }
  }

  /** Has the end of a job stored, whose state allows it. */
  public void end(Job job) {
    batcher.known(StoreKeys.active(job.spec().id()), job.version());
    batcher.submit(StoreKeys.ended(job.spec().id()), new EndUnit(job));
    job.beginEnd();
  }

  /** Changed parts of a chunk, each under a key of its own. */
  private final class KeyedUnit implements TransactionBatcher.Unit {
    private final ChunkUpdate progress;

    KeyedUnit(ChunkUpdate progress) {
      this.progress = progress;
    }

    @Override
    public boolean pressing() {
      return progress.pressing();
    }

    @Override
    public List<Write> writes() {
      if (logWriter.inDoubt(progress.name())) {
        // The log's next write takes it along.
        return List.of();
      }
      List<ChunkUpdate.Form> chosen =
          progress.forms(valueBytes, partsAllowed).stream().limit(maxOps).toList();
      progress.sent(chosen);
      List<Write> writes = new ArrayList<>();
      for (ChunkUpdate.Form form : chosen) {
        keysInDoubt.computeIfAbsent(progress.name(), key -> new HashSet<>()).add(form.part());
        writes.add(Write.put(StoreKeys.progress(id(), form.part()), form.progress()));
      }
      return writes;
    }

    private JobId id() {
      return progress.job().spec().id();
    }

    @Override
    public void committed(Revision revision) {
      certain();
      for (Chunk part : progress.sentParts()) {
        log.release(new ProgressLog.Image(id(), part));
      }
      progress.stored(revision);
      if (progress.waits()) {
        store(progress);
      }
      cleanUp(progress);
    }

    /** What was written is known; a part that was cut since is read for nothing. */
    private void certain() {
      Set<Chunk> doubtful = keysInDoubt.getOrDefault(progress.name(), new HashSet<>());
      doubtful.removeAll(progress.sentParts());
      doubtful.removeIf(part -> !progress.job().parts().live().contains(part));
      if (doubtful.isEmpty()) {
        keysInDoubt.remove(progress.name());
      }
    }
  }

  private void remove(Job job, Chunk part) {
    log.release(new ProgressLog.Image(job.spec().id(), part));
    String key = StoreKeys.progress(job.spec().id(), part);
    if (batcher.knows(key)) {
      // Nobody reads it any more: it need not compete with what tasks wait for.
      batcher.submitIdle(key, new DeleteUnit(key, () -> job.parts().gone(part)));
    } else {
      job.parts().gone(part);
    }
  }

  /** Has a key deleted that nobody reads any more. */
  void removeKey(String key) {
    batcher.submitIdle(key, new DeleteUnit(key));
  }

  /** The end of a job: from here on users hear done or cancelled, and jobs that await it may go. */
  private final class EndUnit implements TransactionBatcher.Unit {
    private final Job job;
    private List<TaskAssignment> left = List.of();
    private long atMillis;

    EndUnit(Job job) {
      this.job = job;
    }

    @Override
    public List<Write> writes() {
      JobId id = job.spec().id();
      if (leader.unreadable().has(id)) {
        return List.of();
      }
      atMillis = context.loop().wallMillis();
      List<Write> writes = new ArrayList<>();
      writes.add(Write.delete(StoreKeys.active(id)));
      writes.add(Write.put(StoreKeys.ended(id), JobRecord.endedValue(job.endPhase(), atMillis)));
      left = List.copyOf(job.assignments());
      return writes;
    }

    @Override
    public void reread(String key, Optional<Item> item) {
      if (key.equals(StoreKeys.active(job.spec().id()))) {
        item.flatMap(JobRecord::read).ifPresent(job::update);
      }
    }

    @Override
    public void committed(Revision revision) {
      JobId id = job.spec().id();
      LOG.info("job {} {}: {}", id, job.endPhase().wire(), job.summary(atMillis));
      List.copyOf(job.parts().inStore()).forEach(part -> remove(job, part));
      for (int list = 0; list < job.awaits().lists(); list++) {
        String key = StoreKeys.awaited(id, job.awaits().digest(), list);
        if (batcher.knows(key)) {
          removeKey(key);
        }
      }
      log.release(id);
      forgetDoubts(job);
      job.finishEnd();
      batcher.forgotten(StoreKeys.ended(id));
      leader.ended(job, left, atMillis);
    }
  }

  /** A late write of a job that is over is read for nothing. */
  private void forgetDoubts(Job job) {
    for (Chunk part : job.parts().live()) {
      keysInDoubt.remove(ChunkUpdate.name(job, part.chunk()));
    }
  }

  /** A key that is no longer needed. */
  private record DeleteUnit(String key, Runnable then) implements TransactionBatcher.Unit {
    DeleteUnit(String key) {
      this(key, () -> {});
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.delete(key));
    }

    @Override
    public void committed(Revision revision) {
      LOG.debug("removed {}", key);
      then.run();
    }
  }
}
