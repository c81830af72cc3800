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
 * Whether jobs that a submission awaits were ever accepted. That one was accepted stays true, so
 * whoever has seen it need not ask; that one was not is certain only by reading its keys now, first
 * the active one, since a job moves only from there to the ended one.
 */
public final class DependencyValidator {
  private static final int AT_ONCE = 8;
  private static final int REMEMBERED = 10_000;

  /** What came of a check. */
  public enum Verdict {
    ALL_ACCEPTED,
    /** One of them was certainly never accepted. */
    UNKNOWN_JOB,
    UNDECIDED
  }

  private final KeyValueStore store;
  private final Predicate<JobId> seen;

  /** A long list is looked up at the rate that there is: a retry goes on where the last one was. */
  private final Set<JobId> found = BoundedMap.set(REMEMBERED);

  /**
   * A check.
   *
   * @param seen whether a job is known to have been accepted
   */
  public DependencyValidator(KeyValueStore store, Predicate<JobId> seen) {
    this.store = store;
    this.seen = seen;
  }

  /** A job whose record was seen: it was accepted, whatever becomes of it. */
  public void markAccepted(JobId job) {
    found.add(job);
  }

  public void check(List<JobId> jobs, Consumer<Verdict> then) {
    Deque<JobId> open = new ArrayDeque<>();
    jobs.stream().filter(job -> !seen.test(job) && !found.contains(job)).forEach(open::add);
    Check round = new Check(open, then);
    if (open.isEmpty()) {
      then.accept(Verdict.ALL_ACCEPTED);
    }
    for (int i = 0; i < AT_ONCE && !open.isEmpty(); i++) {
      round.ask();
    }
  }

  private final class Check {
    private final Deque<JobId> open;
    private final Consumer<Verdict> then;
    private int asked;
    private boolean over;

    Check(Deque<JobId> open, Consumer<Verdict> then) {
      this.open = open;
      this.then = then;
    }

    private void ask() {
      asked++;
      JobId job = open.poll();
      read(
          job,
          StoreKeys.activeJob(job),
          () -> read(job, StoreKeys.endedJob(job), () -> end(Verdict.UNKNOWN_JOB)));
    }

    /** Whatever stands there: it was accepted. */
    private void read(JobId job, String key, Runnable absent) {
      store.get(
          key,
          KeyValueStore.Urgency.PROMPT,
          answer -> {
            if (answer instanceof ReadResult.Found<KeyValue>) {
              found.add(job);
              goOn();
            } else if (answer instanceof ReadResult.Absent<KeyValue>) {
              absent.run();
            } else {
              end(Verdict.UNDECIDED);
            }
          });
    }

    private void goOn() {
      asked--;
      if (over) {
        return;
      }
      if (!open.isEmpty()) {
        ask();
      } else if (asked == 0) {
        end(Verdict.ALL_ACCEPTED);
      }
    }

    private void end(Verdict verdict) {
      if (!over) {
        over = true;
        then.accept(verdict);
      }
    }
  }
}
