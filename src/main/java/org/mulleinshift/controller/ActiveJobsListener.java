package org.mulleinshift.controller;

import java.util.Optional;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.PrefixWatcher;
import org.mulleinshift.store.StoreKeys;

/** Forwards changes of the store's active jobs to the components that use them. */
final class ActiveJobsListener implements PrefixWatcher.Listener {
  /** Receives changes of active jobs in addition to the leader. */
  interface Subscriber {
    /** A job was added or its record changed; empty if this build can't read the record. */
    void onActive(JobId id, Optional<JobRecord> job);

    /** A job is no longer active. */
    void onNoLongerActive(JobId id);

    /** All changes up to the revision have been delivered. */
    void onCaughtUp(Revision revision);

    /** All active jobs have been delivered for the first time; called once. */
    void onLoaded();
  }

  private final CancelledJobs cancelledJobs;
  private final CurrentTerm currentTerm;
  private final Subscriber subscriber;
  private boolean loaded;

  /**
   * Creates a listener that has received no change yet.
   *
   * @param cancelledJobs is updated from the records' cancellation flags
   * @param currentTerm provides the leader if this controller leads
   * @param subscriber also receives the changes
   */
  ActiveJobsListener(CancelledJobs cancelledJobs, CurrentTerm currentTerm, Subscriber subscriber) {
    this.cancelledJobs = cancelledJobs;
    this.currentTerm = currentTerm;
    this.subscriber = subscriber;
  }

  /** Returns whether all active jobs have been read once. */
  boolean loaded() {
    return loaded;
  }

  @Override
  public void onChange(String key, Optional<KeyValue> item) {
    JobId id = new JobId(key.substring(StoreKeys.ACTIVE_JOBS.length()));
    if (item.isEmpty()) {
      cancelledJobs.remove(id);
      subscriber.onNoLongerActive(id);
      return;
    }
    Optional<JobRecord> job = JobRecord.read(item.get());
    subscriber.onActive(id, job);
    if (job.isPresent()) {
      onReadable(job.get());
    } else {
      currentTerm.ifLeading(leader -> leader.onUnreadableJob(id, item.get().value()));
    }
  }

  private void onReadable(JobRecord job) {
    if (job.cancelled()) {
      cancelledJobs.add(job.id());
    }
    currentTerm.ifLeading(leader -> leader.onJobRecord(job));
  }

  @Override
  public void onCaughtUp(Revision revision) {
    subscriber.onCaughtUp(revision);
    if (!loaded) {
      loaded = true;
      subscriber.onLoaded();
    }
  }
}
