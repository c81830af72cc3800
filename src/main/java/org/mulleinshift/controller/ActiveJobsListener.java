package org.mulleinshift.controller;

import java.util.Optional;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.PrefixWatcher;
import org.mulleinshift.store.StoreKeys;

/** Distributes changes of the active jobs in the store. */
final class ActiveJobsListener implements PrefixWatcher.Listener {
  /** Whom changes of active jobs concern besides the leader. */
  interface Subscriber {
    /** A job is active; the record is empty if this build can't read it. */
    void onActive(JobId id, Optional<JobRecord> job);

    /** A job is active no longer. */
    void onNoLongerActive(JobId id);

    /** All changes up to the revision were handed over. */
    void onCaughtUp(Revision revision);

    /** The active jobs were handed over for the first time. */
    void onLoaded();
  }

  private final CancelledJobs cancelledJobs;
  private final CurrentTerm currentTerm;
  private final Subscriber subscriber;
  private boolean loaded;

  /**
   * A listener before the first change.
   *
   * @param cancelledJobs is kept up to date
   * @param currentTerm the leader, if this controller leads
   * @param subscriber gets the changes too
   */
  ActiveJobsListener(CancelledJobs cancelledJobs, CurrentTerm currentTerm, Subscriber subscriber) {
    this.cancelledJobs = cancelledJobs;
    this.currentTerm = currentTerm;
    this.subscriber = subscriber;
  }

  /** Whether the active jobs were read once. */
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
