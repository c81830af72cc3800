package org.mulleinshift.api;

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

/**
 * Reads from the store what {@link DependencyCheck} lacks for a verdict. What is read never changes
 * and is kept, so that each of a job's dependencies costs a node one read; callers that lack the
 * same share it.
 */
final class DependencyReader {
  private static final int MAX_CONCURRENT_READS = 8;

  /** Each round of reads may show further jobs whose lists have to be read. */
  private static final int MAX_ROUNDS = 16;

  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final DependencyCheck check;
  private final Map<JobId, List<Consumer<Boolean>>> endReads = new HashMap<>();
  private final Map<JobId, List<Consumer<Boolean>>> listReads = new HashMap<>();

  DependencyReader(KeyValueStore store, KnownJobs knownJobs, DependencyCheck check) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.check = check;
  }

  /** Reads what is missing for a verdict on the job, as far as the store answers. */
  void readMissing(JobRecord job, Runnable onFinished) {
    new Reading(job, onFinished).startRound();
  }

  /** The reads for one verdict. */
  private final class Reading {
    private final JobRecord job;
    private final Runnable onFinished;
    private final Deque<Consumer<Consumer<Boolean>>> unread = new ArrayDeque<>();
    private int remainingRounds = MAX_ROUNDS;
    private int readsInFlight;
    private boolean failed;

    Reading(JobRecord job, Runnable onFinished) {
      this.job = job;
      this.onFinished = onFinished;
    }

    void startRound() {
      if (!(check.verdict(job) instanceof DependencyVerdict.Unproven missing)
          || remainingRounds == 0) {
        onFinished.run();
        return;
      }
      remainingRounds--;
      missing.ends().forEach(ended -> unread.add(result -> readEnd(ended, result)));
      missing.lists().forEach(waiting -> unread.add(result -> readLists(waiting, result)));
      startReads();
    }

    private void startReads() {
      while (readsInFlight < MAX_CONCURRENT_READS && !unread.isEmpty()) {
        readsInFlight++;
        unread.poll().accept(this::onRead);
      }
    }

    private void onRead(boolean known) {
      readsInFlight--;
      if (!known) {
        failed = true;
        unread.clear();
      }
      startReads();
      if (readsInFlight > 0) {
        return;
      }
      if (failed) {
        onFinished.run();
      } else {
        startRound();
      }
    }
  }

  private void readEnd(JobId ended, Consumer<Boolean> result) {
    if (!isFirst(endReads, ended, result)) {
      return;
    }
    store.get(
        StoreKeys.endedJob(ended),
        KeyValueStore.Urgency.NORMAL,
        answer -> {
          Optional<JobPhase> phase = found(answer).flatMap(JobRecord::endedPhase);
          phase.ifPresent(terminal -> knownJobs.cacheTerminalPhase(ended, terminal));
          finish(endReads, ended, phase.isPresent());
        });
  }

  private void readLists(JobRecord job, Consumer<Boolean> result) {
    if (isFirst(listReads, job.id(), result)) {
      readLists(job, new ArrayList<>(), 0);
    }
  }

  private void readLists(JobRecord job, List<JobId> read, int list) {
    JobDependencies dependencies = job.dependencies();
    if (list == dependencies.lists()) {
      knownJobs.onDependenciesRead(job.id(), read);
      finish(listReads, job.id(), true);
      return;
    }
    store.get(
        StoreKeys.dependencyList(job.id(), dependencies.digest(), list),
        KeyValueStore.Urgency.NORMAL,
        answer -> {
          Optional<List<JobId>> names = found(answer).flatMap(DependencyReader::parseList);
          if (names.isPresent()) {
            read.addAll(names.get());
            readLists(job, read, list + 1);
          } else {
            finish(listReads, job.id(), false);
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

  private static Optional<KeyValue> found(ReadResult<KeyValue> answer) {
    return answer instanceof ReadResult.Found<KeyValue> found
        ? Optional.of(found.value())
        : Optional.empty();
  }

  /** Adds a caller to a read; the first one has to start it. */
  private static boolean isFirst(
      Map<JobId, List<Consumer<Boolean>>> reads, JobId job, Consumer<Boolean> result) {
    List<Consumer<Boolean>> callers = reads.computeIfAbsent(job, key -> new ArrayList<>());
    callers.add(result);
    return callers.size() == 1;
  }

  private static void finish(Map<JobId, List<Consumer<Boolean>>> reads, JobId job, boolean known) {
    reads.remove(job).forEach(caller -> caller.accept(known));
  }
}
