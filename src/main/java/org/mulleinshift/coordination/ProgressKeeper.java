package org.mulleinshift.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.bookkeeping.Delegation;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.bookkeeping.JobRecord;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.LeaderJournal;
import org.mulleinshift.bookkeeping.Part;
import org.mulleinshift.coordination.rollout.Builds;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec;
import org.mulleinshift.protocol.StateCodec.Item;
import org.mulleinshift.protocol.StateCodec.Write;
import org.mulleinshift.settings.PlatformSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored progress and ends of jobs, as the leader writes and reads them. Progress is written in
 * chunks, as every build reads them; a chunk too long for a value is cut into parts, but only once
 * all controllers have shown a build that reads parts: an older one would take a job's done tasks
 * in them for waiting ones.
 */
final class ProgressKeeper {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressKeeper.class);

  /** The service may count a value's bytes in a form with spaces. */
  private static final double USED_OF_VALUE = 0.85;

  private final Leader leader;
  private final Leader.Surroundings around;
  private final LeaderJournal journal;
  private final int valueBytes;
  private final boolean limitsFall;
  private final int mostOps;
  private boolean partsAllowed;

  ProgressKeeper(Leader leader, Leader.Surroundings around, LeaderJournal journal, int mostOps) {
    this.leader = leader;
    this.around = around;
    this.journal = journal;
    this.mostOps = mostOps;
    PlatformSettings.State limits = around.settings().cluster().state();
    // Else no build has stored anything longer than what fits.
    this.limitsFall = limits.leastValueBytes() < limits.valueBytes();
    this.valueBytes = (int) (USED_OF_VALUE * limits.leastValueBytes());
  }

  /** A page of stored progress; the whole of a chunk comes before its parts. */
  void load(StateCodec.Range page) {
    for (Item item : page.items()) {
      Optional<Keys.ProgressKey> key = Keys.progressKey(item.key());
      if (key.isEmpty()) {
        LOG.warn("{}: not a key of this build, left alone", item.key());
        continue;
      }
      JobId id = key.get().job();
      if (leader.setAside().has(id)) {
        leader.setAside().progress(item.value());
        continue;
      }
      journal.known(item.key(), item.version());
      Job job = leader.known(id).orElse(null);
      if (job == null) {
        // Of a job that is over. Nobody waits for it.
        journal.submitIdle(item.key(), new DeleteUnit(item.key()));
      } else {
        load(job, key.get().part(), item);
      }
    }
  }

  private void load(Job job, Part part, Item item) {
    try {
      job.load(part, item.value(), leader::zoneOf);
    } catch (BadMessage e) {
      JsonNode record = JobRecord.value(job.spec(), job.awaits(), job.acceptedMillis(), false);
      leader.putAside(job.spec().id(), record, e.getMessage());
      leader.setAside().progress(item.value());
    }
  }

  /**
   * Once all controllers read parts: what an older build stored longer than the limits that come
   * allow is written anew in parts, when nothing else waits. Each step may be the last.
   */
  void upkeep() {
    if (!partsAllowed && around.builds().all(Builds.PARTS)) {
      partsAllowed = true;
      leader.jobs().values().forEach(this::convert);
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
    for (Part part : open) {
      job.parts().changed(part, false);
      String name = unitName(job, part.chunk());
      journal.submitIdle(name, new ProgressUnit(job, part.chunk()));
    }
  }

  /** Has the progress of a task stored; pressing if its start waits for that. */
  void store(Job job, int task, boolean pressing) {
    Part part = job.partOf(task);
    job.parts().changed(part, pressing);
    journal.submit(unitName(job, part.chunk()), new ProgressUnit(job, part.chunk()));
  }

  private static String unitName(Job job, int chunk) {
    return Keys.progress(job.spec().id(), Part.chunk(chunk));
  }

  /** Has the end of a job stored, whose state allows it. */
  void end(Job job) {
    journal.known(Keys.active(job.spec().id()), job.version());
    journal.submit(Keys.ended(job.spec().id()), new EndUnit(job));
    job.beginEnd();
  }

  /** Done and delegated tasks of a chunk of a job: those of its parts that have changed. */
  private final class ProgressUnit implements LeaderJournal.Unit {
    private final Job job;
    private final int chunk;
    private List<Part> parts = List.of();
    private List<Delegation> written = List.of();
    private List<Delegation> ended = List.of();

    ProgressUnit(Job job, int chunk) {
      this.job = job;
      this.chunk = chunk;
    }

    @Override
    public boolean pressing() {
      return job.parts().pressing(chunk);
    }

    @Override
    public List<Write> writes() {
      boolean over = job.state() == Job.State.ENDING || job.state() == Job.State.ENDED;
      if (over || leader.setAside().has(job.spec().id())) {
        return List.of();
      }
      Map<Part, Write> forms = new HashMap<>();
      parts = new ArrayList<>();
      List<Part> waiting = job.parts().waiting(chunk);
      while (waiting.stream().anyMatch(part -> cut(part, forms))) {
        waiting = job.parts().waiting(chunk);
      }
      for (Part part : waiting) {
        if (parts.size() < mostOps) {
          parts.add(part);
        }
      }
      parts.forEach(job.parts()::sent);
      written = select(Delegation.State.WRITING);
      ended = select(Delegation.State.ENDED);
      return parts.stream().map(forms::get).toList();
    }

    /** Works out the part's form; if that is too long the part is cut instead. */
    private boolean cut(Part part, Map<Part, Write> forms) {
      if (forms.containsKey(part)) {
        return false;
      }
      Write write = Write.put(Keys.progress(job.spec().id(), part), job.progress(part));
      if (partsAllowed && part.divisible() && write.bytes() > valueBytes) {
        job.split(part);
        return true;
      }
      forms.put(part, write);
      return false;
    }

    private List<Delegation> select(Delegation.State wanted) {
      return parts.stream()
          .flatMap(part -> job.delegations(part).stream())
          .filter(delegation -> delegation.state() == wanted)
          .toList();
    }

    @Override
    public void committed(Revision revision) {
      job.parts().stored(parts);
      job.stored(written, ended, revision);
      if (!written.isEmpty()) {
        job.told(around.loop().wallMillis());
      }
      // Ends first: a task that comes back to the same block is told as a new one.
      ended.forEach(leader::untell);
      written.forEach(leader::tell);
      if (!job.parts().waiting(chunk).isEmpty()) {
        journal.submit(unitName(job, chunk), new ProgressUnit(job, chunk));
      }
      job.parts().outgrown(chunk).forEach(part -> remove(job, part));
      leader.settle(job);
      leader.cycleSoon();
    }
  }

  private void remove(Job job, Part part) {
    String key = Keys.progress(job.spec().id(), part);
    if (journal.knows(key)) {
      // Nobody reads it any more: it need not compete with what tasks wait for.
      journal.submitIdle(key, new DeleteUnit(key, () -> job.parts().gone(part)));
    }
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
      if (leader.setAside().has(id)) {
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
          journal.submitIdle(key, new DeleteUnit(key));
        }
      }
      job.finishEnd();
      journal.forgotten(Keys.ended(id));
      leader.ended(job, left, atMillis);
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
