package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.mulleinshift.bookkeeping.Delegation;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.bookkeeping.JobRecord;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.LeaderJournal;
import org.mulleinshift.bookkeeping.Part;
import org.mulleinshift.bookkeeping.ProgressLog;
import org.mulleinshift.coordination.rollout.Builds;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec;
import org.mulleinshift.protocol.StateCodec.Item;
import org.mulleinshift.protocol.StateCodec.Write;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored progress and ends of jobs, as the leader writes them. Progress goes to the log once
 * all controllers have shown a build that reads it; before that, and where the log does not serve,
 * to keys of each job, in chunks as every build reads them. A chunk too long for a value is cut
 * into parts, but only once all controllers read parts: an older build would take a job's done
 * tasks in them for waiting ones.
 */
final class ProgressKeeper implements ProgressLogWriter.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressKeeper.class);

  /** The service may count a value's bytes in a form with spaces. */
  private static final double USED_OF_VALUE = 0.85;

  /** Bytes of the log that one transaction writes at most: the rest is for what goes with it. */
  private static final int LOG_BYTES = 44_000;

  private final Leader leader;
  private final Leader.Surroundings around;
  private final LeaderJournal journal;
  private final int valueBytes;
  private final boolean limitsFall;
  private final int mostOps;
  private final ProgressLog log;
  private final ProgressLogWriter logWriter;
  private final ProgressLoader loader;

  /** Parts by chunk whose last write under a key of their own may still be carried out. */
  private final Map<String, Set<Part>> keysInDoubt = new HashMap<>();

  private boolean partsAllowed;
  private boolean logging;

  ProgressKeeper(Leader leader, Leader.Surroundings around, LeaderJournal journal, int mostOps) {
    this.leader = leader;
    this.around = around;
    this.journal = journal;
    this.mostOps = mostOps;
    PlatformSettings.State limits = around.settings().cluster().state();
    // Else no build has stored anything longer than what fits.
    this.limitsFall = limits.leastValueBytes() < limits.valueBytes();
    this.valueBytes = (int) (USED_OF_VALUE * limits.leastValueBytes());
    this.log = new ProgressLog(valueBytes);
    int slots = Math.max(1, Math.min(mostOps / 2, LOG_BYTES / valueBytes));
    this.logWriter = new ProgressLogWriter(around.loop(), journal, log, slots, this);
    this.loader = new ProgressLoader(leader, journal, log);
  }

  /** Reads what is stored, before anything is written. */
  ProgressLoader loader() {
    return loader;
  }

  /**
   * Once all controllers read parts: what an older build stored longer than the limits that come
   * allow is written anew in parts, when nothing else waits. Once they read the log, progress goes
   * there, unless the operators have switched it off: then what is there moves back to keys. Each
   * step may be the last.
   */
  void upkeep() {
    if (!partsAllowed && around.builds().all(Builds.PARTS)) {
      partsAllowed = true;
      leader.jobs().values().forEach(this::convert);
    }
    boolean wanted = around.tunables().number(Tunables.Key.PROGRESS_LOG) > 0;
    if (!logging && wanted && around.builds().all(Builds.PROGRESS_LOG)) {
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
      List<String> left = log.keys().stream().filter(journal::knows).toList();
      left.forEach(this::removeKey);
      if (!left.isEmpty()) {
        LOG.info("the progress log is not needed any more: {} slots are removed", left.size());
      }
    }
  }

  private void convert(Job job) {
    List<Part> open = new ArrayList<>(job.parts().uncovered());
    for (Part part : List.copyOf(job.parts().live())) {
      // Also what could not be stored before.
      boolean waits =
          job.delegations(part).stream()
              .anyMatch(
                  delegation ->
                      delegation.state() == Delegation.State.WRITING
                          || delegation.state() == Delegation.State.ENDED);
      if (waits || (limitsFall && StateCodec.bytes(job.progress(part)) > valueBytes)) {
        open.add(part);
      }
    }
    open.forEach(part -> writeWhenIdle(job, part));
  }

  private void writeWhenIdle(Job job, Part part) {
    job.parts().changed(part, false);
    KeyedUnit unit = new KeyedUnit(chunkOf(job, part));
    journal.submitIdle(unit.progress.name(), unit);
  }

  private ChunkProgress chunkOf(Job job, Part part) {
    return new ChunkProgress(leader, around.loop(), job, part.chunk());
  }

  /** Has the progress of a task stored; pressing if its start waits for that. */
  void store(Job job, int task, boolean pressing) {
    Part part = job.partOf(task);
    job.parts().changed(part, pressing);
    store(chunkOf(job, part));
  }

  private void store(ChunkProgress progress) {
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
  public void writeByKeys(ChunkProgress progress) {
    journal.submit(progress.name(), new KeyedUnit(progress));
  }

  @Override
  public void stored(List<ChunkProgress> stored) {
    stored.forEach(this::cleanUp);
    compact();
  }

  /** After a chunk's changes were stored: what is no longer read goes, and the job may end. */
  private void cleanUp(ChunkProgress progress) {
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
  private void rewrite(List<ProgressLog.Image> images, BiConsumer<Job, Part> writer) {
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
  void end(Job job) {
    journal.known(Keys.active(job.spec().id()), job.version());
    journal.submit(Keys.ended(job.spec().id()), new EndUnit(job));
    job.beginEnd();
  }

  /** Changed parts of a chunk, each under a key of its own. */
  private final class KeyedUnit implements LeaderJournal.Unit {
    private final ChunkProgress progress;

    KeyedUnit(ChunkProgress progress) {
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
      List<ChunkProgress.Form> chosen =
          progress.forms(valueBytes, partsAllowed).stream().limit(mostOps).toList();
      progress.sent(chosen);
      List<Write> writes = new ArrayList<>();
      for (ChunkProgress.Form form : chosen) {
        keysInDoubt.computeIfAbsent(progress.name(), key -> new HashSet<>()).add(form.part());
        writes.add(Write.put(Keys.progress(id(), form.part()), form.progress()));
      }
      return writes;
    }

    private JobId id() {
      return progress.job().spec().id();
    }

    @Override
    public void committed(Revision revision) {
      certain();
      for (Part part : progress.sentParts()) {
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
      Set<Part> doubtful = keysInDoubt.getOrDefault(progress.name(), new HashSet<>());
      doubtful.removeAll(progress.sentParts());
      doubtful.removeIf(part -> !progress.job().parts().live().contains(part));
      if (doubtful.isEmpty()) {
        keysInDoubt.remove(progress.name());
      }
    }
  }

  private void remove(Job job, Part part) {
    log.release(new ProgressLog.Image(job.spec().id(), part));
    String key = Keys.progress(job.spec().id(), part);
    if (journal.knows(key)) {
      // Nobody reads it any more: it need not compete with what tasks wait for.
      journal.submitIdle(key, new DeleteUnit(key, () -> job.parts().gone(part)));
    } else {
      job.parts().gone(part);
    }
  }

  /** Has a key deleted that nobody reads any more. */
  void removeKey(String key) {
    journal.submitIdle(key, new DeleteUnit(key));
  }

  /** The end of a job: from here on users hear done or cancelled, and jobs that await it may go. */
  private final class EndUnit implements LeaderJournal.Unit {
    private final Job job;
    private List<Delegation> left = List.of();
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
      atMillis = around.loop().wallMillis();
      List<Write> writes = new ArrayList<>();
      writes.add(Write.delete(Keys.active(id)));
      writes.add(Write.put(Keys.ended(id), JobRecord.endedValue(job.endPhase(), atMillis)));
      left = List.copyOf(job.delegations());
      return writes;
    }

    @Override
    public void reread(String key, Optional<Item> item) {
      if (key.equals(Keys.active(job.spec().id()))) {
        item.flatMap(JobRecord::read).ifPresent(job::update);
      }
    }

    @Override
    public void committed(Revision revision) {
      JobId id = job.spec().id();
      LOG.info("job {} {}: {}", id, job.endPhase().wire(), job.summary(atMillis));
      List.copyOf(job.parts().inStore()).forEach(part -> remove(job, part));
      for (int list = 0; list < job.awaits().lists(); list++) {
        String key = Keys.awaited(id, job.awaits().digest(), list);
        if (journal.knows(key)) {
          removeKey(key);
        }
      }
      log.release(id);
      forgetDoubts(job);
      job.finishEnd();
      journal.forgotten(Keys.ended(id));
      leader.ended(job, left, atMillis);
    }
  }

  /** A late write of a job that is over is read for nothing. */
  private void forgetDoubts(Job job) {
    for (Part part : job.parts().live()) {
      keysInDoubt.remove(ChunkProgress.name(job, part.chunk()));
    }
  }

  /** A key that is no longer needed. */
  private record DeleteUnit(String key, Runnable then) implements LeaderJournal.Unit {
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
