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
 * Tells the other controllers of a stored cancellation before it is acknowledged to its user, and
 * waits until every owner of shards has confirmed that it starts no task of the job. An owner that
 * does not confirm would learn of the cancellation from the store, or may act no longer than its
 * ownership lease.
 */
final class CancellationAnnouncer implements CancellationNotifier {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationAnnouncer.class);
  private static final Duration ACK_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_PENDING = 512;
  private static final int MAX_REMEMBERED = 4096;

  /** An announcement that some owners have not acknowledged. */
  private static final class Pending {
    private final Set<NodeId> unacknowledged;
    private final List<Consumer<Boolean>> results = new ArrayList<>();

    Pending(Set<NodeId> owners) {
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
  private final Map<JobId, Pending> pending = new HashMap<>();
  private final Map<JobId, MonotonicTime> firstAnnouncedAt = new BoundedMap<>(MAX_REMEMBERED);

  /**
   * Nothing is announced yet.
   *
   * @param members the controllers of the cluster
   * @param view who owns shards
   * @param featureGates whether all controllers understand the announcement
   * @param messenger sends to the others
   * @param cancelledJobs the cancelled jobs that this controller knows
   * @param ownershipLease an owner that does not know the cancellation acts no longer than this
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
  public void announce(JobId job, Consumer<Boolean> result) {
    cancelledJobs.add(job);
    Set<NodeId> owners = otherOwners();
    if (owners.isEmpty() || isKnownByAll(job)) {
      result.accept(true);
      return;
    }
    Pending waiting = pending.get(job);
    if (waiting != null) {
      waiting.results.add(result);
      return;
    }
    if (pending.size() >= MAX_PENDING) {
      result.accept(false);
      return;
    }
    Pending next = new Pending(owners);
    next.results.add(result);
    pending.put(job, next);
    messenger.sendToOthers(new JobCancellation(job.value()));
    loop.after(ACK_TIMEOUT, () -> expire(job, next));
  }

  /** Controllers other than this one that own shards. */
  private Set<NodeId> otherOwners() {
    Set<NodeId> owners = new HashSet<>();
    view.grants().values().stream().map(GrantRecord::owner).forEach(owners::add);
    owners.retainAll(members.others());
    return owners;
  }

  /** Whether nothing is gained by an announcement, or it would not be understood. */
  private boolean isKnownByAll(JobId job) {
    MonotonicTime now = loop.now();
    MonotonicTime first = firstAnnouncedAt.computeIfAbsent(job, key -> now);
    return now.since(first).compareTo(ownershipLease) >= 0
        || !featureGates.allSupport(FeatureGates.CANCELLATION_NOTICES);
  }

  private void expire(JobId job, Pending expired) {
    if (pending.remove(job, expired)) {
      LOG.info("cancellation not acknowledged, job={} controllers={}", job, expired.unacknowledged);
      expired.results.forEach(result -> result.accept(false));
    }
  }

  /** Another controller has stored or found a cancellation. */
  void onAnnouncement(NodeId sender, JobCancellation announcement) {
    JobId job = new JobId(announcement.getJob());
    cancelledJobs.announce(job);
    messenger.send(sender, new JobCancellationAck(job.value()));
  }

  /** Another controller starts no task of the job any more. */
  void onAck(NodeId sender, JobCancellationAck ack) {
    JobId job = new JobId(ack.getJob());
    Pending waiting = pending.get(job);
    if (waiting == null) {
      return;
    }
    waiting.unacknowledged.remove(sender);
    if (waiting.unacknowledged.isEmpty()) {
      pending.remove(job);
      waiting.results.forEach(result -> result.accept(true));
    }
  }
}
