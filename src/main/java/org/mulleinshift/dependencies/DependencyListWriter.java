package org.mulleinshift.dependencies;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.CommitResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;

/**
 * Stores what a job awaits in lists of their own, before its record names them. The keys hold a
 * digest of the job and all the names, so that nothing of another attempt is mixed in, and every
 * write demands that the job is not accepted yet: one that is applied late changes nothing of an
 * accepted job.
 */
public final class DependencyListWriter {
  private static final Duration BUSY_PAUSE = Duration.ofMillis(250);

  /** Within the time that a user waits for an answer. */
  private static final int BUSY_TRIES = 14;

  /** Submissions whose lists were begun: a retry goes on where the last one was given up on. */
  private static final int REMEMBERED = 64;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Map<String, Integer> begun = new BoundedMap<>(REMEMBERED);
  private final int valueBytes;
  private final int maxOps;

  public DependencyListWriter(EventLoop loop, KeyValueStore store, int valueBytes, int maxOps) {
    this.loop = loop;
    this.store = store;
    this.valueBytes = valueBytes;
    this.maxOps = maxOps;
  }

  /** Tells what the record is to hold, or a failure: then nothing was accepted. */
  public void write(
      JobId job,
      List<JobId> awaited,
      Consumer<JobDependencies> written,
      Consumer<CommitResult> failed) {
    String names = job + " " + awaited;
    String digest = UUID.nameUUIDFromBytes(names.getBytes(StandardCharsets.UTF_8)).toString();
    List<List<JobId>> lists = JobDependencies.partition(awaited, valueBytes);
    List<Write> writes = new ArrayList<>();
    for (int i = 0; i < lists.size(); i++) {
      writes.add(
          Write.put(StoreKeys.dependencyList(job, digest, i), JobDependencies.list(lists.get(i))));
    }
    JobDependencies record = new JobDependencies(List.of(), lists.size(), digest);
    Attempt attempt = new Attempt(job, digest, writes, () -> written.accept(record), failed);
    next(attempt, BUSY_TRIES);
  }

  private record Attempt(
      JobId job,
      String digest,
      List<Write> writes,
      Runnable written,
      Consumer<CommitResult> failed) {}

  private void next(Attempt attempt, int tries) {
    JobId job = attempt.job();
    int from = begun.getOrDefault(attempt.digest(), 0);
    List<Write> left = attempt.writes().subList(from, attempt.writes().size());
    if (left.isEmpty()) {
      attempt.written().run();
      return;
    }
    List<Write> batch = left.subList(0, Math.min(maxOps, left.size()));
    store.commit(
        List.of(
            new Compare(StoreKeys.activeJob(job), new Revision(0)),
            new Compare(StoreKeys.endedJob(job), new Revision(0))),
        batch,
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            begun.put(attempt.digest(), from + batch.size());
            next(attempt, tries);
          } else if (outcome instanceof CommitResult.Busy && tries > 0) {
            loop.after(BUSY_PAUSE, () -> next(attempt, tries - 1));
          } else {
            attempt.failed().accept(outcome);
          }
        });
  }
}
