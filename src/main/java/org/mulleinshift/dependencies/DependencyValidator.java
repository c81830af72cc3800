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
 * Checks whether the dependencies of a submission were ever accepted. That a job was accepted stays
 * true, so it need not be read again; that it was not is certain only by reading its keys now,
 * first the active one, since a job moves only from there to the ended one.
 */
public final class DependencyValidator {
  private static final int MAX_CONCURRENT_READS = 8;
  private static final int MAX_CACHED_ACCEPTED_JOBS = 10_000;

  /** The outcome of a check. */
  public enum Verdict {
    /** All jobs were accepted. */
    ALL_ACCEPTED,
    /** One of the jobs was certainly never accepted. */
    UNKNOWN_JOB,
    /** The store did not answer. */
    UNDECIDED
  }

  private final KeyValueStore store;
  private final Predicate<JobId> isKnownAccepted;

  /** A long list is read at the rate that the store permits; a retry goes on with the rest. */
  private final Set<JobId> cachedAccepted = BoundedMap.set(MAX_CACHED_ACCEPTED_JOBS);

  /**
   * A validator.
   *
   * @param isKnownAccepted whether a job is known to have been accepted
   */
  public DependencyValidator(KeyValueStore store, Predicate<JobId> isKnownAccepted) {
    this.store = store;
    this.isKnownAccepted = isKnownAccepted;
  }

  /** A job whose record was seen was accepted, whatever becomes of it. */
  public void markAccepted(JobId job) {
    cachedAccepted.add(job);
  }

  /** Checks the jobs; the consumer gets the verdict once. */
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

    /** A key that exists, whatever its value, means that the job was accepted. */
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
