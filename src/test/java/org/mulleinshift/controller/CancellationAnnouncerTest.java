package org.mulleinshift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.peer.JobCancellation;
import org.mulleinshift.protocol.peer.JobCancellationAck;
import org.mulleinshift.store.StoreKeys;

/**
 * A cancellation is confirmed only once no other controller can start tasks of the job without
 * knowing of it: each has acknowledged it, or had no session after it was stored, or an ownership
 * lease has passed. What the view tells of owners doesn't matter, since it may be empty or old.
 */
final class CancellationAnnouncerTest {
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId PEER = new NodeId("node-1");
  private static final NodeId OTHER = new NodeId("node-2");
  private static final JobId JOB = new JobId("run-1");
  private static final double RETRY_SECONDS = 0.15;
  private static final double TIMEOUT_SECONDS = 1;
  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final JobCancellationAck ACK = new JobCancellationAck("run-1");

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final ClusterView view = new ClusterView();
  private final ClusterMembers members =
      new ClusterMembers(SELF, List.of(PEER, OTHER), List.of(OTHER, PEER));
  private final List<String> sent = new ArrayList<>();
  private final List<JobId> stopped = new ArrayList<>();
  private final CancelledJobs cancelledJobs = new CancelledJobs(stopped::add);
  private final List<Boolean> results = new ArrayList<>();
  private final List<Consumer<Boolean>> viewChecks = new ArrayList<>();
  private final CancellationAnnouncer announcer =
      new CancellationAnnouncer(
          loop,
          new CancellationAnnouncer.Cluster(
              members,
              view,
              viewChecks::add,
              new FeatureGates(loop, null, SELF, members.all(), view)),
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
  void openSessions() {
    members.all().forEach(this::openSession);
    members.all().forEach(node -> publish(node, FeatureGates.CANCELLATION_NOTICES));
  }

  private void openSession(NodeId node) {
    String key = StoreKeys.node(node);
    view.apply(
        key,
        Optional.of(new KeyValue(key, ClusterView.nodeValue(new LeaseId(5)), new Revision(1))));
  }

  private void endSession(NodeId node) {
    view.apply(StoreKeys.node(node), Optional.empty());
  }

  private void publish(NodeId node, int level) {
    String key = StoreKeys.featureLevel(node);
    view.apply(
        key, Optional.of(new KeyValue(key, ClusterView.featureLevelValue(level), new Revision(1))));
  }

  private void announce() {
    announcer.announce(JOB, results::add);
    loop.runFor(0.05);
  }

  @Test
  void isConfirmedOnceEveryOtherControllerHasAcknowledged() {
    announce();
    assertEquals(2, sent.size());
    assertEquals(List.of(JOB), stopped);
    announcer.onAck(OTHER, ACK);
    assertEquals(List.of(), results);
    announcer.onAck(PEER, ACK);
    assertEquals(List.of(true), results);
    loop.runFor(TIMEOUT_SECONDS);
    assertEquals(List.of(), viewChecks, "costs no store request");
  }

  @Test
  void isNotConfirmedWhileAControllerWithASessionDoesNotAnswer() {
    announce();
    announcer.onAck(OTHER, ACK);
    loop.runFor(RETRY_SECONDS);
    viewChecks.get(0).accept(true);
    assertEquals(List.of(), results);
    loop.runFor(TIMEOUT_SECONDS);
    assertEquals(List.of(false), results);
    announcer.onAck(PEER, ACK);
    assertEquals(List.of(false), results, "a late acknowledgement changes no result");
  }

  @Test
  void isNotConfirmedByAViewThatIsEmptyOrOld() {
    members.all().forEach(this::endSession);
    announce();
    assertEquals(List.of(), results);
    loop.runFor(RETRY_SECONDS);
    viewChecks.get(0).accept(false);
    loop.runFor(TIMEOUT_SECONDS);
    viewChecks.get(1).accept(false);
    assertEquals(List.of(false), results);
  }

  @Test
  void isConfirmedWithoutControllersThatHaveNoSessionAfterIt() {
    announce();
    announcer.onAck(OTHER, ACK);
    loop.runFor(RETRY_SECONDS);
    endSession(PEER);
    assertEquals(List.of(), results);
    viewChecks.get(0).accept(true);
    assertEquals(List.of(true), results);
  }

  @Test
  void waitsForACheckOfSessionsThatTakesLonger() {
    endSession(PEER);
    announce();
    announcer.onAck(OTHER, ACK);
    loop.runFor(2 * TIMEOUT_SECONDS);
    assertEquals(List.of(), results);
    viewChecks.get(0).accept(true);
    assertEquals(List.of(true), results);
  }

  @Test
  void isAnnouncedAgainToWhoeverHasNotAnswered() {
    announce();
    announcer.onAck(OTHER, ACK);
    loop.runFor(RETRY_SECONDS);
    assertEquals(3, sent.size());
    assertTrue(sent.get(2).startsWith("node-1 "), sent.get(2));
  }

  @Test
  void isConfirmedOnceOwnershipLeasesFromBeforeHaveExpired() {
    announce();
    loop.runFor(RETRY_SECONDS);
    viewChecks.get(0).accept(true);
    loop.runFor(LEASE.toMillis() / 1000.0);
    announce();
    assertEquals(List.of(false, true), results);
  }

  @Test
  void requestsAtTheSameTimeShareAnAnnouncement() {
    announcer.announce(JOB, results::add);
    announce();
    assertEquals(2, sent.size());
    announcer.onAck(PEER, ACK);
    announcer.onAck(OTHER, ACK);
    assertEquals(List.of(true, true), results);
  }

  @Test
  void isNotAnnouncedToControllersThatWouldNotUnderstand() {
    publish(OTHER, FeatureGates.PROGRESS_LOG);
    announce();
    announcer.onAck(PEER, ACK);
    assertEquals(1, sent.size());
    assertEquals(List.of(), results, "such a controller may still start tasks");
  }

  @Test
  void isAnnouncedOnceItIsKnownWhoUnderstands() {
    publish(OTHER, 0);
    announce();
    assertEquals(1, sent.size());
    publish(OTHER, FeatureGates.CANCELLATION_NOTICES);
    announcer.onControlKeysChanged();
    announcer.onControlKeysChanged();
    loop.runFor(0.01);
    announcer.onAck(PEER, ACK);
    announcer.onAck(OTHER, ACK);
    assertEquals(List.of(true), results);
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
