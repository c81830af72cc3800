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
 * Stores a job's dependencies in lists under separate keys, before the job's record that refers to
 * them is written. The keys contain a digest of the job id and all its dependencies, so that lists
 * of different submissions are never mixed. Every write is conditional on the job not being
 * accepted yet, so a write that the store applies late cannot change an accepted job.
 */
public final class DependencyListWriter {
  private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(250);

  /**
   * Chosen so that the retries, with the delays between them, end before the client stops waiting
   * for a response.
   */
  private static final int MAX_BUSY_RETRIES = 14;

  /**
   * Maximum number of submissions whose progress is kept, so that a retry resumes after the lists
   * that were already written.
   */
  private static final int MAX_TRACKED_SUBMISSIONS = 64;

  /** The revision that a guard compares with if the key must not exist. */
  private static final Revision ABSENT_REVISION = new Revision(0);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Map<String, Integer> writtenListsByDigest =
      new BoundedMap<>(MAX_TRACKED_SUBMISSIONS);
  private final int maxValueBytes;
  private final int maxOperations;

  /**
   * Creates a writer.
   *
   * @param maxValueBytes maximum size of a stored value
   * @param maxOperations maximum number of writes in a transaction
   */
  public DependencyListWriter(
      EventLoop loop, KeyValueStore store, int maxValueBytes, int maxOperations) {
    this.loop = loop;
    this.store = store;
    this.maxValueBytes = maxValueBytes;
    this.maxOperations = maxOperations;
  }

  /**
   * Stores the dependencies of a job in as many transactions as are needed.
   *
   * @param onWritten receives the reference to the lists that the job's record must contain
   * @param onFailed receives the result of the failed transaction if not all lists were stored; the
   *     job must not be accepted then
   */
  public void write(
      JobId job,
      List<JobId> dependencies,
      Consumer<JobDependencies> onWritten,
      Consumer<CommitResult> onFailed) {
    String content = job + " " + dependencies;
    String digest = UUID.nameUUIDFromBytes(content.getBytes(StandardCharsets.UTF_8)).toString();
    List<List<JobId>> lists = JobDependencies.partition(dependencies, maxValueBytes);
    List<Write> writes = new ArrayList<>();
    for (int i = 0; i < lists.size(); i++) {
      String key = StoreKeys.dependencyList(job, digest, i);
      writes.add(Write.put(key, JobDependencies.listValue(lists.get(i))));
    }
    JobDependencies record = new JobDependencies(List.of(), lists.size(), digest);
    Submission submission =
        new Submission(job, digest, writes, () -> onWritten.accept(record), onFailed);
    writeNext(submission, MAX_BUSY_RETRIES);
  }

  /** The lists of one submission, and the callbacks for the outcome. */
  private record Submission(
      JobId job,
      String digest,
      List<Write> writes,
      Runnable onWritten,
      Consumer<CommitResult> onFailed) {
    /** Conditions that hold as long as the job has not been accepted. */
    List<Compare> guards() {
      return List.of(
          new Compare(StoreKeys.activeJob(job), ABSENT_REVISION),
          new Compare(StoreKeys.endedJob(job), ABSENT_REVISION));
    }
  }

  private void writeNext(Submission submission, int remainingRetries) {
    int written = writtenListsByDigest.getOrDefault(submission.digest(), 0);
    List<Write> remaining = submission.writes().subList(written, submission.writes().size());
    if (remaining.isEmpty()) {
      submission.onWritten().run();
      return;
    }
    List<Write> batch = remaining.subList(0, Math.min(maxOperations, remaining.size()));
    store.commit(
        submission.guards(),
        batch,
        KeyValueStore.Urgency.PROMPT,
        result -> {
          if (result instanceof CommitResult.Committed) {
            writtenListsByDigest.put(submission.digest(), written + batch.size());
            writeNext(submission, remainingRetries);
          } else if (result instanceof CommitResult.Busy && remainingRetries > 0) {
            loop.after(BUSY_RETRY_DELAY, () -> writeNext(submission, remainingRetries - 1));
          } else {
            submission.onFailed().accept(result);
          }
        });
  }
}
