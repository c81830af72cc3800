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
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.GrantRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.JobCancellation;
import org.mulleinshift.protocol.peer.JobCancellationAck;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Announces a stored cancellation to the other controllers before it is acknowledged to the user,
 * and waits until every shard owner has confirmed that it starts no more tasks of the job. An owner
 * that does not confirm either learns of the cancellation from the store or loses its ownership
 * lease.
 */
final class CancellationAnnouncer implements CancellationNotifier {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationAnnouncer.class);
  private static final Duration ACK_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_PENDING = 512;
  private static final int MAX_REMEMBERED_ANNOUNCEMENTS = 4096;

  /** An announcement that has not been acknowledged by all owners. */
  private static final class PendingAnnouncement {
    private final Set<NodeId> unacknowledged;
    private final List<Consumer<Boolean>> callbacks = new ArrayList<>();

    PendingAnnouncement(Set<NodeId> owners) {
      this.unacknowledged = owners;
    }
  }

  private final EventLoop loop;
  private final ClusterMembers members;
  private final ClusterView view;
  private final FeatureGates featureGates;
  private final FrameMessenger messenger;
  private final CancelledJobs cancelledJobs;
  private final Duration ownershipLease;
  private final Map<JobId, PendingAnnouncement> pending = new HashMap<>();
  private final Map<JobId, MonotonicTime> firstAnnouncedAt =
      new BoundedMap<>(MAX_REMEMBERED_ANNOUNCEMENTS);

  /**
   * Creates an announcer without pending announcements.
   *
   * @param members the controllers of the cluster
   * @param view provides the owners of shards
   * @param featureGates tell whether all controllers understand announcements
   * @param messenger sends the announcements
   * @param cancelledJobs the cancelled jobs known to this controller
   * @param ownershipLease for how long an owner may act without knowing the cancellation
   */
  CancellationAnnouncer(
      EventLoop loop,
      ClusterMembers members,
      ClusterView view,
      FeatureGates featureGates,
      FrameMessenger messenger,
      CancelledJobs cancelledJobs,
      Duration ownershipLease) {
    this.loop = loop;
    this.members = members;
    this.view = view;
    this.featureGates = featureGates;
    this.messenger = messenger;
    this.cancelledJobs = cancelledJobs;
    this.ownershipLease = ownershipLease;
  }

  @Override
  public void announce(JobId job, Consumer<Boolean> callback) {
    cancelledJobs.add(job);
    Set<NodeId> owners = otherOwners();
    if (owners.isEmpty() || needsNoAnnouncement(job)) {
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
    PendingAnnouncement next = new PendingAnnouncement(owners);
    next.callbacks.add(callback);
    pending.put(job, next);
    messenger.sendToOthers(new JobCancellation(job.value()));
    loop.after(ACK_TIMEOUT, () -> expire(job, next));
  }

  /** Returns the controllers other than this one that own shards. */
  private Set<NodeId> otherOwners() {
    Set<NodeId> owners = new HashSet<>();
    view.grants().values().stream().map(GrantRecord::owner).forEach(owners::add);
    owners.retainAll(members.others());
    return owners;
  }

  /**
   * Returns whether no owner can act without knowing the cancellation any more, since a full
   * ownership lease has passed, or some controller doesn't understand announcements yet.
   */
  private boolean needsNoAnnouncement(JobId job) {
    MonotonicTime now = loop.now();
    MonotonicTime first = firstAnnouncedAt.computeIfAbsent(job, key -> now);
    return now.since(first).compareTo(ownershipLease) >= 0
        || !featureGates.allSupport(FeatureGates.CANCELLATION_NOTICES);
  }

  private void expire(JobId job, PendingAnnouncement expired) {
    if (pending.remove(job, expired)) {
      LOG.info("cancellation not acknowledged, job={} controllers={}", job, expired.unacknowledged);
      expired.callbacks.forEach(callback -> callback.accept(false));
    }
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
    PendingAnnouncement existing = pending.get(job);
    if (existing == null) {
      return;
    }
    existing.unacknowledged.remove(sender);
    if (existing.unacknowledged.isEmpty()) {
      pending.remove(job);
      existing.callbacks.forEach(callback -> callback.accept(true));
    }
  }
}
