package org.mulleinshift.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.mulleinshift.api.CancellationNotifier;
import org.mulleinshift.api.ViewFreshnessCheck;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.JobCancellation;
import org.mulleinshift.protocol.peer.JobCancellationAck;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Announces a stored cancellation to the other controllers before it is acknowledged to the user.
 * It is acknowledged once no controller can start a task of the job without knowing of it, which
 * holds for each other controller that
 *
 * <ul>
 *   <li>has acknowledged the announcement, or
 *   <li>had no session after the cancellation was stored: it may own no shard before it registers a
 *       session, and then only by evidence from after that (see {@code OwnershipLease}),
 * </ul>
 *
 * and for all of them once an ownership lease has passed. Which controllers own shards doesn't
 * matter, since an earlier owner may still act and the view of the owners may be empty or old.
 */
final class CancellationAnnouncer implements CancellationNotifier {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationAnnouncer.class);

  /** Allows for a connection to this controller that is opened again after its restart. */
  private static final Duration ACK_TIMEOUT = Duration.ofSeconds(1);

  /** Time until an announcement is repeated, as messages and acknowledgements may be lost. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);

  private static final int MAX_PENDING = 512;
  private static final int MAX_REMEMBERED_ANNOUNCEMENTS = 4096;

  /**
   * The controllers of the cluster.
   *
   * @param members the controllers according to the settings
   * @param view provides their sessions
   * @param viewCheck confirms that the view is current
   * @param featureGates tell which of them understand announcements
   */
  record Cluster(
      ClusterMembers members,
      ClusterView view,
      ViewFreshnessCheck viewCheck,
      FeatureGates featureGates) {}

  /** An announcement that some controllers have not acknowledged. */
  private static final class PendingAnnouncement {
    private final Set<NodeId> unacknowledged;
    private final Set<NodeId> notified = new HashSet<>();
    private final List<Consumer<Boolean>> callbacks = new ArrayList<>();
    private boolean checkingSessions;
    private boolean sessionsChecked;
    private boolean timedOut;

    PendingAnnouncement(List<NodeId> controllers) {
      this.unacknowledged = new HashSet<>(controllers);
    }
  }

  private final EventLoop loop;
  private final Cluster cluster;
  private final List<NodeId> others;
  private final FrameMessenger messenger;
  private final CancelledJobs cancelledJobs;
  private final Duration ownershipLease;
  private final Map<JobId, PendingAnnouncement> pending = new HashMap<>();
  private final Map<JobId, MonotonicTime> firstAnnouncedAt =
      new BoundedMap<>(MAX_REMEMBERED_ANNOUNCEMENTS);

  /**
   * Creates an announcer without pending announcements.
   *
   * @param messenger sends the announcements
   * @param cancelledJobs the cancelled jobs known to this controller
   * @param ownershipLease for how long an owner may act without knowing the cancellation
   */
  CancellationAnnouncer(
      EventLoop loop,
      Cluster cluster,
      FrameMessenger messenger,
      CancelledJobs cancelledJobs,
      Duration ownershipLease) {
    this.loop = loop;
    this.cluster = cluster;
    this.others = cluster.members().others();
    this.messenger = messenger;
    this.cancelledJobs = cancelledJobs;
    this.ownershipLease = ownershipLease;
  }

  @Override
  public void announce(JobId job, Consumer<Boolean> callback) {
    cancelledJobs.add(job);
    if (others.isEmpty() || hasOwnershipLeasePassed(job)) {
      callback.accept(true);
      return;
    }
    PendingAnnouncement existing = pending.get(job);
    if (existing != null) {
      existing.callbacks.add(callback);
      return;
    }
    if (pending.size() >= MAX_PENDING) {
      callback.accept(false);
      return;
    }
    PendingAnnouncement next = new PendingAnnouncement(others);
    next.callbacks.add(callback);
    pending.put(job, next);
    notifyUnacknowledged(job, next);
    loop.after(RETRY_INTERVAL, () -> retry(job, next));
    loop.after(ACK_TIMEOUT, () -> expire(job, next));
  }

  /**
   * Returns whether no owner can act without knowing the cancellation any more, since a full
   * ownership lease has passed.
   */
  private boolean hasOwnershipLeasePassed(JobId job) {
    MonotonicTime now = loop.now();
    MonotonicTime first = firstAnnouncedAt.computeIfAbsent(job, key -> now);
    return now.since(first).compareTo(ownershipLease) >= 0;
  }

  /** Notifies the controllers that are known to understand announcements. */
  private void notifyUnacknowledged(JobId job, PendingAnnouncement announcement) {
    for (NodeId node : announcement.unacknowledged) {
      if (cluster.featureGates().supports(node, FeatureGates.CANCELLATION_NOTICES)) {
        announcement.notified.add(node);
        messenger.send(node, new JobCancellation(job.value()));
      }
    }
  }

  /** Notifies controllers of which it became known only now that they understand announcements. */
  void onControlKeysChanged() {
    pending.forEach(
        (job, announcement) -> {
          if (!announcement.notified.containsAll(announcement.unacknowledged)) {
            notifyUnacknowledged(job, announcement);
          }
        });
  }

  private void retry(JobId job, PendingAnnouncement announcement) {
    if (pending.get(job) != announcement || announcement.timedOut) {
      return;
    }
    loop.after(RETRY_INTERVAL, () -> retry(job, announcement));
    notifyUnacknowledged(job, announcement);
    if (!announcement.sessionsChecked && !announcement.checkingSessions) {
      checkSessions(job, announcement);
    }
  }

  /**
   * Excludes controllers without a session, by the control keys as they are after the cancellation
   * was stored.
   */
  private void checkSessions(JobId job, PendingAnnouncement announcement) {
    announcement.checkingSessions = true;
    cluster
        .viewCheck()
        .confirmCurrent(confirmed -> onSessionsChecked(job, announcement, confirmed));
  }

  private void onSessionsChecked(JobId job, PendingAnnouncement announcement, boolean confirmed) {
    announcement.checkingSessions = false;
    if (pending.get(job) != announcement) {
      return;
    }
    if (confirmed) {
      announcement.sessionsChecked = true;
      announcement.unacknowledged.removeIf(node -> !cluster.view().nodes().containsKey(node));
    }
    if (announcement.unacknowledged.isEmpty()) {
      complete(job, announcement, true);
    } else if (announcement.timedOut) {
      fail(job, announcement);
    }
  }

  private void expire(JobId job, PendingAnnouncement announcement) {
    if (pending.get(job) != announcement) {
      return;
    }
    announcement.timedOut = true;
    if (!announcement.checkingSessions) {
      fail(job, announcement);
    }
  }

  private void fail(JobId job, PendingAnnouncement announcement) {
    LOG.info(
        "cancellation not acknowledged, job={} controllers={} notified={}",
        job,
        announcement.unacknowledged,
        announcement.notified);
    complete(job, announcement, false);
  }

  private void complete(JobId job, PendingAnnouncement announcement, boolean acknowledged) {
    pending.remove(job);
    announcement.callbacks.forEach(callback -> callback.accept(acknowledged));
  }

  /** Another controller announces a cancellation, which it has stored or found in the store. */
  void onAnnouncement(NodeId sender, JobCancellation announcement) {
    JobId job = new JobId(announcement.getJob());
    cancelledJobs.addAnnounced(job);
    messenger.send(sender, new JobCancellationAck(job.value()));
  }

  /** Another controller confirms that it starts no more tasks of the job. */
  void onAck(NodeId sender, JobCancellationAck ack) {
    JobId job = new JobId(ack.getJob());
    PendingAnnouncement announcement = pending.get(job);
    if (announcement == null) {
      return;
    }
    announcement.unacknowledged.remove(sender);
    if (announcement.unacknowledged.isEmpty()) {
      complete(job, announcement, true);
    }
  }
}
