package org.mulleinshift.api;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mulleinshift.memory.MemoryPressure;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;

/**
 * Reads the status of jobs. Only terminal phases are served from the cache; any other status is
 * read from the store, or from a view that is confirmed to be as fresh as the request.
 */
final class JobStatusReader {
  private static final int MAX_PENDING_READS = 2000;
  private static final int MAX_PENDING_READS_HIGH_PRESSURE = 64;
  private static final int MAX_PENDING_READS_CRITICAL_PRESSURE = 8;

  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final DependencyReader dependencyReader;
  private final ViewFreshnessCheck viewFreshnessCheck;
  private final Supplier<MemoryPressure> memoryPressure;
  private int pendingReads;

  JobStatusReader(
      KeyValueStore store,
      KnownJobs knownJobs,
      DependencyReader dependencyReader,
      ViewFreshnessCheck viewFreshnessCheck,
      Supplier<MemoryPressure> memoryPressure) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.dependencyReader = dependencyReader;
    this.viewFreshnessCheck = viewFreshnessCheck;
    this.memoryPressure = memoryPressure;
  }

  /**
   * Reads a status that the job has at some moment after this call.
   *
   * @param onUnconfirmed runs instead of {@code result} if too many reads are pending, or if the
   *     view could not be confirmed
   */
  void readCurrent(JobId id, Consumer<JobStatus> result, Runnable onUnconfirmed) {
    // Some reads are admitted at any memory pressure, so that users who retry get a status
    // eventually.
    if (pendingReads >= maxPendingReads()) {
      onUnconfirmed.run();
      return;
    }
    pendingReads++;
    // Concurrent reads share one confirmation of the view: a store read for each would use up the
    // store's rate limit and leave no capacity for submissions.
    viewFreshnessCheck.confirmCurrent(
        confirmed -> {
          pendingReads--;
          if (!confirmed) {
            onUnconfirmed.run();
            return;
          }
          readFromView(id, result);
        });
  }

  /** Reads the status from the confirmed view, and the dependencies of an active job. */
  private void readFromView(JobId id, Consumer<JobStatus> result) {
    if (knownJobs.findActive(id).orElse(null) instanceof JobStatus.Active active) {
      // The job may end while its dependencies are read.
      dependencyReader.readMissing(active.job(), () -> readStatusFromView(id, result));
    } else {
      readStatusFromView(id, result);
    }
  }

  private void readStatusFromView(JobId id, Consumer<JobStatus> result) {
    knownJobs.findActive(id).ifPresentOrElse(result, () -> readEnded(id, result));
  }

  /** The maximum number of reads that wait for a confirmation at a time. */
  private int maxPendingReads() {
    return switch (memoryPressure.get()) {
      case NORMAL -> MAX_PENDING_READS;
      case HIGH -> MAX_PENDING_READS_HIGH_PRESSURE;
      case CRITICAL -> MAX_PENDING_READS_CRITICAL_PRESSURE;
    };
  }

  /**
   * Reads the status from the store. For an active job with dependencies, also confirms the view
   * and reads the dependencies: both are needed before the job is reported as pending or running.
   */
  void readStoredWithDependencies(JobId id, Consumer<JobStatus> result) {
    readStored(
        id,
        status -> {
          if (status instanceof JobStatus.Active active && !active.job().dependencies().isEmpty()) {
            viewFreshnessCheck.confirmCurrent(
                confirmed -> {
                  if (confirmed) {
                    readFromView(id, result);
                  } else {
                    result.accept(new JobStatus.Unknown());
                  }
                });
          } else {
            result.accept(status);
          }
        });
  }

  /**
   * Reads the status from the store, unless the job is known to have ended. A job only moves from
   * active to ended, so reading the keys in this order can't miss it.
   */
  void readStored(JobId id, Consumer<JobStatus> result) {
    Optional<JobPhase> terminal = knownJobs.terminalPhase(id);
    if (terminal.isPresent()) {
      result.accept(new JobStatus.Ended(terminal.get()));
      return;
    }
    store.get(
        StoreKeys.activeJob(id),
        KeyValueStore.Urgency.NORMAL,
        active -> {
          if (active instanceof ReadResult.Found<KeyValue> found) {
            result.accept(activeStatus(found.value()));
          } else if (active instanceof ReadResult.Absent<KeyValue>) {
            readEnded(id, result);
          } else {
            result.accept(new JobStatus.Unknown());
          }
        });
  }

  private static JobStatus activeStatus(KeyValue stored) {
    return JobRecord.read(stored)
        .<JobStatus>map(JobStatus.Active::new)
        .orElse(new JobStatus.Unknown());
  }

  private void readEnded(JobId id, Consumer<JobStatus> result) {
    store.get(
        StoreKeys.endedJob(id),
        KeyValueStore.Urgency.NORMAL,
        ended -> result.accept(endedStatus(id, ended)));
  }

  private JobStatus endedStatus(JobId id, ReadResult<KeyValue> ended) {
    if (ended instanceof ReadResult.Found<KeyValue> found) {
      Optional<JobPhase> phase = JobRecord.endedPhase(found.value());
      phase.ifPresent(terminal -> knownJobs.cacheEnd(id, terminal));
      return phase.<JobStatus>map(JobStatus.Ended::new).orElse(new JobStatus.Unknown());
    }
    return ended instanceof ReadResult.Absent<KeyValue>
        ? new JobStatus.NeverAccepted()
        : new JobStatus.Unknown();
  }
}
