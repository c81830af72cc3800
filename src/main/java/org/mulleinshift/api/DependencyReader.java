package org.mulleinshift.api;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;

/**
 * Reads from the store what {@link DependencyCheck} needs for a verdict. The values read are
 * immutable and cached, so that each dependency of a job costs a node one read; concurrent callers
 * that need the same value share the read. Long reads continue after their callers have timed out,
 * so that a retry finds the values.
 */
final class DependencyReader {
  private static final int MAX_CONCURRENT_READS = 8;

  /** Each round of reads may find further jobs whose dependencies have to be read. */
  private static final int MAX_ROUNDS = 16;

  /** Shorter than the timeout of clients. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);

  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** After these retries, which take at least 5 s, a refused key is left to the next request. */
  private static final int MAX_RETRIES = 20;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final DependencyCheck check;
  private final Map<JobId, VerdictRead> verdictReads = new HashMap<>();
  private final Map<JobId, List<Consumer<Boolean>>> endReads = new HashMap<>();
  private final Map<JobId, List<Consumer<Boolean>>> listReads = new HashMap<>();

  DependencyReader(
      EventLoop loop, KeyValueStore store, KnownJobs knownJobs, DependencyCheck check) {
    this.loop = loop;
    this.store = store;
    this.knownJobs = knownJobs;
    this.check = check;
  }

  /**
   * Reads the values that are missing for a verdict on the job.
   *
   * @param onFinished runs once, when all values were read, when a read has failed, or after {@link
   *     #MAX_WAIT}
   */
  void readMissing(JobRecord job, Runnable onFinished) {
    if (!(check.verdict(job) instanceof DependencyVerdict.Unproven)) {
      onFinished.run();
      return;
    }
    VerdictRead pending = verdictReads.get(job.id());
    VerdictRead verdictRead = pending == null ? new VerdictRead(job) : pending;
    Caller caller = new Caller(onFinished);
    verdictRead.callers.add(caller);
    loop.after(MAX_WAIT, caller::finish);
    if (pending == null) {
      verdictReads.put(job.id(), verdictRead);
      verdictRead.startRound();
    }
  }

  /** Runs its callback once: at the end of the reads or at the timeout, whichever comes first. */
  private static final class Caller {
    private final Runnable onFinished;
    private boolean finished;

    Caller(Runnable onFinished) {
      this.onFinished = onFinished;
    }

    void finish() {
      if (!finished) {
        finished = true;
        onFinished.run();
      }
    }
  }

  /** The reads that one job's verdict needs. */
  private final class VerdictRead {
    private final JobRecord job;
    private final List<Caller> callers = new ArrayList<>();
    private final Deque<JobId> unreadEnds = new ArrayDeque<>();
    private final Deque<JobRecord> unreadLists = new ArrayDeque<>();
    private KeyValueStore.Urgency urgency = KeyValueStore.Urgency.NORMAL;
    private int remainingRounds = MAX_ROUNDS;
    private int readsInFlight;
    private boolean failed;

    VerdictRead(JobRecord job) {
      this.job = job;
    }

    void startRound() {
      boolean stillActive = knownJobs.findActive(job.id()).isPresent();
      if (failed
          || !stillActive
          || remainingRounds == 0
          || !(check.verdict(job) instanceof DependencyVerdict.Unproven missing)) {
        finish();
        return;
      }
      remainingRounds--;
      // A large batch leaves most of the store's rate limit to requests that clients wait for.
      urgency =
          missing.ends().size() > MAX_CONCURRENT_READS
              ? KeyValueStore.Urgency.LOW
              : KeyValueStore.Urgency.NORMAL;
      unreadEnds.addAll(missing.ends());
      unreadLists.addAll(missing.lists());
      startReads();
    }

    private void finish() {
      verdictReads.remove(job.id());
      callers.forEach(Caller::finish);
    }

    private void startReads() {
      while (readsInFlight < MAX_CONCURRENT_READS && !unreadLists.isEmpty()) {
        readsInFlight++;
        readLists(unreadLists.poll(), urgency, this::onRead);
      }
      while (readsInFlight < MAX_CONCURRENT_READS && !unreadEnds.isEmpty()) {
        JobId ended = unreadEnds.poll();
        if (knownJobs.cachedTerminalPhase(ended).isEmpty()) {
          readsInFlight++;
          readEnd(ended, urgency, this::onRead);
        }
      }
      if (readsInFlight == 0) {
        startRound();
      }
    }

    private void onRead(boolean known) {
      readsInFlight--;
      if (!known) {
        failed = true;
        unreadEnds.clear();
        unreadLists.clear();
      }
      startReads();
    }
  }

  private void readEnd(JobId ended, KeyValueStore.Urgency urgency, Consumer<Boolean> result) {
    if (!addCaller(endReads, ended, result)) {
      return;
    }
    read(
        StoreKeys.endedJob(ended),
        urgency,
        item -> {
          Optional<JobPhase> phase = item.flatMap(JobRecord::endedPhase);
          phase.ifPresent(terminal -> knownJobs.cacheEnd(ended, terminal));
          completeRead(endReads, ended, phase.isPresent());
        });
  }

  private void readLists(JobRecord job, KeyValueStore.Urgency urgency, Consumer<Boolean> result) {
    if (addCaller(listReads, job.id(), result)) {
      readLists(job, urgency, new ArrayList<>(), 0);
    }
  }

  private void readLists(
      JobRecord job, KeyValueStore.Urgency urgency, List<JobId> collected, int listIndex) {
    JobDependencies dependencies = job.dependencies();
    if (listIndex == dependencies.listCount()) {
      knownJobs.onDependenciesRead(job.id(), collected);
      completeRead(listReads, job.id(), true);
      return;
    }
    read(
        StoreKeys.dependencyList(job.id(), dependencies.digest(), listIndex),
        urgency,
        item -> {
          Optional<List<JobId>> names = item.flatMap(DependencyReader::parseList);
          if (names.isPresent()) {
            collected.addAll(names.get());
            readLists(job, urgency, collected, listIndex + 1);
          } else {
            completeRead(listReads, job.id(), false);
          }
        });
  }

  private static Optional<List<JobId>> parseList(KeyValue item) {
    try {
      return Optional.of(JobDependencies.readList(item.value()));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  /**
   * Reads a key, retrying while the store refuses the read; empty if the key is absent or
   * unreadable.
   */
  private void read(
      String key, KeyValueStore.Urgency urgency, Consumer<Optional<KeyValue>> result) {
    read(key, urgency, MAX_RETRIES, result);
  }

  private void read(
      String key,
      KeyValueStore.Urgency urgency,
      int remainingRetries,
      Consumer<Optional<KeyValue>> result) {
    store.get(
        key,
        urgency,
        answer -> {
          if (answer instanceof ReadResult.Found<KeyValue> found) {
            result.accept(Optional.of(found.value()));
          } else if (answer instanceof ReadResult.Refused<KeyValue> && remainingRetries > 0) {
            loop.after(RETRY_DELAY, () -> read(key, urgency, remainingRetries - 1, result));
          } else {
            result.accept(Optional.empty());
          }
        });
  }

  /** Adds a caller to a read; returns true for the first caller, which has to start the read. */
  private static boolean addCaller(
      Map<JobId, List<Consumer<Boolean>>> reads, JobId job, Consumer<Boolean> result) {
    List<Consumer<Boolean>> callers = reads.computeIfAbsent(job, key -> new ArrayList<>());
    callers.add(result);
    return callers.size() == 1;
  }

  private static void completeRead(
      Map<JobId, List<Consumer<Boolean>>> reads, JobId job, boolean known) {
    reads.remove(job).forEach(caller -> caller.accept(known));
  }
}
