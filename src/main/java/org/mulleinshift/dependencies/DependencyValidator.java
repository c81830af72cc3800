package org.mulleinshift.dependencies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;

/**
 * Checks whether the dependencies of a submission were ever accepted. An accepted job stays
 * accepted, so a positive result is cached. A negative result requires reading both keys of the job
 * now: first the active one, then the ended one, since a job only ever moves from the former to the
 * latter.
 */
public final class DependencyValidator {
  private static final int MAX_CONCURRENT_READS = 8;
  private static final int MAX_CACHED_ACCEPTED_JOBS = 10_000;

  /** The outcome of a check. */
  public enum Verdict {
    /** All jobs have been accepted. */
    ALL_ACCEPTED,
    /** At least one of the jobs has certainly not been accepted. */
    UNKNOWN_JOB,
    /** The store refused a read or did not answer it. */
    UNDECIDED
  }

  private final KeyValueStore store;
  private final Predicate<JobId> isKnownAccepted;

  /**
   * Jobs found to be accepted. The store's rate limit may not permit checking a long list at once;
   * a retry of the submission skips the jobs that are already in this cache.
   */
  private final Set<JobId> cachedAccepted = BoundedMap.set(MAX_CACHED_ACCEPTED_JOBS);

  /**
   * Creates a validator.
   *
   * @param isKnownAccepted whether a job is known to be accepted without reading the store
   */
  public DependencyValidator(KeyValueStore store, Predicate<JobId> isKnownAccepted) {
    this.store = store;
    this.isKnownAccepted = isKnownAccepted;
  }

  /** Records that a job has been accepted, for example because its record was seen. */
  public void markAccepted(JobId job) {
    cachedAccepted.add(job);
  }

  /** Checks the jobs and calls the consumer exactly once, possibly before this method returns. */
  public void check(List<JobId> jobs, Consumer<Verdict> onVerdict) {
    Deque<JobId> unchecked = new ArrayDeque<>();
    jobs.stream()
        .filter(job -> !isKnownAccepted.test(job) && !cachedAccepted.contains(job))
        .forEach(unchecked::add);
    if (unchecked.isEmpty()) {
      onVerdict.accept(Verdict.ALL_ACCEPTED);
      return;
    }
    Check check = new Check(unchecked, onVerdict);
    for (int i = 0; i < MAX_CONCURRENT_READS && !unchecked.isEmpty(); i++) {
      check.readNext();
    }
  }

  /** The check of one submission. */
  private final class Check {
    private final Deque<JobId> unchecked;
    private final Consumer<Verdict> onVerdict;
    private int readsInFlight;
    private boolean finished;

    Check(Deque<JobId> unchecked, Consumer<Verdict> onVerdict) {
      this.unchecked = unchecked;
      this.onVerdict = onVerdict;
    }

    private void readNext() {
      readsInFlight++;
      JobId job = unchecked.poll();
      read(job, StoreKeys.activeJob(job), () -> readEnded(job));
    }

    private void readEnded(JobId job) {
      read(job, StoreKeys.endedJob(job), () -> finish(Verdict.UNKNOWN_JOB));
    }

    /** The job was accepted if the key exists, whatever its value is. */
    private void read(JobId job, String key, Runnable onAbsent) {
      store.get(
          key,
          KeyValueStore.Urgency.PROMPT,
          answer -> {
            if (answer instanceof ReadResult.Found<KeyValue>) {
              onAccepted(job);
            } else if (answer instanceof ReadResult.Absent<KeyValue>) {
              onAbsent.run();
            } else {
              finish(Verdict.UNDECIDED);
            }
          });
    }

    private void onAccepted(JobId job) {
      cachedAccepted.add(job);
      readsInFlight--;
      if (finished) {
        return;
      }
      if (!unchecked.isEmpty()) {
        readNext();
      } else if (readsInFlight == 0) {
        finish(Verdict.ALL_ACCEPTED);
      }
    }

    private void finish(Verdict verdict) {
      if (!finished) {
        finished = true;
        onVerdict.accept(verdict);
      }
    }
  }
}
