package org.mulleinshift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.peer.JobCancellation;
import org.mulleinshift.protocol.peer.JobCancellationAck;
import org.mulleinshift.store.StoreKeys;

/**
 * A cancellation is confirmed only once no other shard owner can start tasks of the job, since an
 * owner that has not heard of the cancellation could still start one. Without announcements, which
 * older controllers do not understand, it is confirmed at once.
 */
final class CancellationAnnouncerTest {
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId OWNER = new NodeId("node-1");
  private static final NodeId OTHER = new NodeId("node-2");
  private static final JobId JOB = new JobId("run-1");
  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final JobCancellationAck ACK = new JobCancellationAck("run-1");

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final ClusterView view = new ClusterView();
  private final ClusterMembers members =
      new ClusterMembers(SELF, List.of(OWNER, OTHER), List.of(OTHER, OWNER));
  private final List<String> sent = new ArrayList<>();
  private final List<JobId> stopped = new ArrayList<>();
  private final CancelledJobs cancelledJobs = new CancelledJobs(stopped::add);
  private final List<Boolean> results = new ArrayList<>();
  private final CancellationAnnouncer announcer =
      new CancellationAnnouncer(
          loop,
          members,
          view,
          new FeatureGates(loop, null, SELF, members.all(), view),
          new FrameMessenger(
              loop,
              this::record,
              members,
              new PeerFailureDetector(loop, SELF),
              (sender, message) -> {}),
          cancelledJobs,
          LEASE);

  private void record(String receiver, byte[] frame) {
    try {
      new PeerCodec().read(frame).getBodies().forEach(body -> sent.add(receiver + " " + body));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  @BeforeEach
  void grantAShard() {
    String key = StoreKeys.grant(new ShardId("a-0"));
    view.apply(key, Optional.of(new KeyValue(key, ClusterView.grantValue(OWNER), new Revision(7))));
    members.all().forEach(node -> publish(node, FeatureGates.CANCELLATION_NOTICES));
  }

  private void publish(NodeId node, int level) {
    String key = StoreKeys.featureLevel(node);
    view.apply(
        key, Optional.of(new KeyValue(key, ClusterView.featureLevelValue(level), new Revision(1))));
  }

  private void announce() {
    announcer.announce(JOB, results::add);
    loop.runFor(0.1);
  }

  @Test
  void isConfirmedOnceEveryOwnerHasAcknowledged() {
    announce();
    assertEquals(2, sent.size(), "announced to all others, since any may become an owner");
    assertEquals(List.of(JOB), stopped);
    announcer.onAck(OTHER, ACK);
    assertEquals(List.of(), results);
    announcer.onAck(OWNER, ACK);
    assertEquals(List.of(true), results);
  }

  @Test
  void isNotConfirmedWhileAnOwnerDoesNotAnswer() {
    announce();
    loop.runFor(0.5);
    assertEquals(List.of(false), results);
    announcer.onAck(OWNER, ACK);
    assertEquals(List.of(false), results, "a late acknowledgement changes no result");
  }

  @Test
  void isConfirmedOnceOwnershipLeasesFromBeforeHaveExpired() {
    announce();
    loop.runFor(LEASE.toMillis() / 1000.0);
    announce();
    assertEquals(List.of(false, true), results);
  }

  @Test
  void requestsAtTheSameTimeShareAnAnnouncement() {
    announce();
    announce();
    assertEquals(2, sent.size());
    announcer.onAck(OWNER, ACK);
    assertEquals(List.of(true, true), results);
  }

  @Test
  void isNotAnnouncedToControllersThatWouldNotUnderstand() {
    publish(OTHER, FeatureGates.PROGRESS_LOG);
    announce();
    assertEquals(List.of(true), results);
    assertEquals(List.of(), sent);
  }

  @Test
  void needsNoAnnouncementWhereNobodyElseOwnsShards() {
    String key = StoreKeys.grant(new ShardId("a-0"));
    view.apply(key, Optional.of(new KeyValue(key, ClusterView.grantValue(SELF), new Revision(9))));
    announce();
    assertEquals(List.of(true), results);
    assertEquals(List.of(), sent);
  }

  @Test
  void anAnnouncedJobCountsAsCancelledBeforeItIsAcknowledged() {
    announcer.onAnnouncement(OTHER, new JobCancellation("run-1"));
    assertTrue(cancelledJobs.contains(JOB));
    assertEquals(List.of(JOB), stopped);
    loop.runFor(0.1);
    assertEquals(List.of("node-2 " + ACK), sent);
    cancelledJobs.remove(JOB);
    assertFalse(cancelledJobs.contains(JOB));
  }
}
