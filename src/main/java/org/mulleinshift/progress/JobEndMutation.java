package org.mulleinshift.progress;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the end of a job and deletes its record as an active job. Once this is committed, users
 * are told that the job is done or cancelled, and jobs that depend on it may start.
 */
final class JobEndMutation implements TransactionBatcher.Mutation {
  private static final Logger LOG = LoggerFactory.getLogger(JobEndMutation.class);

  private final EventLoop loop;
  private final TransactionBatcher batcher;
  private final UnreadableJobs unreadable;
  private final ProgressLog log;
  private final ChunkKeyWriter keyWriter;
  private final ProgressListener listener;
  private final Job job;
  private List<TaskAssignment> remaining = List.of();
  private long endedMillis;

  JobEndMutation(
      EventLoop loop,
      TransactionBatcher batcher,
      UnreadableJobs unreadable,
      ProgressLog log,
      ChunkKeyWriter keyWriter,
      ProgressListener listener,
      Job job) {
    this.loop = loop;
    this.batcher = batcher;
    this.unreadable = unreadable;
    this.log = log;
    this.keyWriter = keyWriter;
    this.listener = listener;
    this.job = job;
  }

  @Override
  public List<Write> writes() {
    JobId id = job.spec().id();
    if (unreadable.contains(id)) {
      return List.of();
    }
    endedMillis = loop.wallMillis();
    List<Write> writes = new ArrayList<>();
    writes.add(Write.delete(StoreKeys.activeJob(id)));
    writes.add(
        Write.put(StoreKeys.endedJob(id), JobRecord.endedValue(job.terminalPhase(), endedMillis)));
    remaining = List.copyOf(job.assignments());
    return writes;
  }

  /** Adopts a cancellation that was stored in the meantime: the job then ends as cancelled. */
  @Override
  public void onReread(String key, Optional<KeyValue> item) {
    if (key.equals(StoreKeys.activeJob(job.spec().id()))) {
      item.flatMap(JobRecord::read).ifPresent(record -> listener.onRecordRead(job, record));
    }
  }

  @Override
  public void onCommitted(Revision revision) {
    JobId id = job.spec().id();
    LOG.info(
        "job ended, term={} job={} phase={} {}",
        batcher.term(),
        id,
        job.terminalPhase().wireName(),
        job.summary(endedMillis));
    List.copyOf(job.chunkLayout().stored()).forEach(chunk -> keyWriter.delete(job, chunk));
    deleteDependencyLists(id);
    log.release(id);
    keyWriter.forgetUncertainWrites(job);
    job.finishEnding();
    batcher.forgetRevision(StoreKeys.endedJob(id));
    listener.onJobEnded(job, remaining, endedMillis);
  }

  private void deleteDependencyLists(JobId id) {
    JobDependencies dependencies = job.dependencies();
    for (int list = 0; list < dependencies.listCount(); list++) {
      String key = StoreKeys.dependencyList(id, dependencies.digest(), list);
      if (batcher.hasRevision(key)) {
        keyWriter.deleteKey(key);
      }
    }
  }
}
