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
 * Stores a job's dependencies in lists under keys of their own, before the job's record refers to
 * them. The keys contain a digest of the job and all its dependencies, so that lists of different
 * submissions are never mixed, and every write requires that the job is not accepted yet: a write
 * that is applied late changes nothing of an accepted job.
 */
public final class DependencyListWriter {
  private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(250);

  /** With the delay between them, within the time that a client waits for an answer. */
  private static final int MAX_BUSY_RETRIES = 14;

  /** Submissions whose progress is remembered: a retry goes on where the last attempt ended. */
  private static final int MAX_TRACKED_SUBMISSIONS = 64;

  /** Guards a key that must not exist. */
  private static final Revision ABSENT_REVISION = new Revision(0);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Map<String, Integer> writtenListsByDigest =
      new BoundedMap<>(MAX_TRACKED_SUBMISSIONS);
  private final int maxValueBytes;
  private final int maxOperations;

  /**
   * A writer.
   *
   * @param maxValueBytes size of a value at most
   * @param maxOperations writes of a transaction at most
   */
  public DependencyListWriter(
      EventLoop loop, KeyValueStore store, int maxValueBytes, int maxOperations) {
    this.loop = loop;
    this.store = store;
    this.maxValueBytes = maxValueBytes;
    this.maxOperations = maxOperations;
  }

  /**
   * Stores the dependencies of a job.
   *
   * @param onWritten gets what the job's record is to contain
   * @param onFailed gets the reason if not all lists were stored: then the job is not accepted
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
      writes.add(Write.put(key, JobDependencies.list(lists.get(i))));
    }
    JobDependencies record = new JobDependencies(List.of(), lists.size(), digest);
    Submission submission =
        new Submission(job, digest, writes, () -> onWritten.accept(record), onFailed);
    writeNext(submission, MAX_BUSY_RETRIES);
  }

  /** The lists of one submission, and who is notified of the outcome. */
  private record Submission(
      JobId job,
      String digest,
      List<Write> writes,
      Runnable onWritten,
      Consumer<CommitResult> onFailed) {
    /** Holds as long as the job is not accepted. */
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
