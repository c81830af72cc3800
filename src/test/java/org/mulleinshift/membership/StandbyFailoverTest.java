package org.mulleinshift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.PeerLastHeard;
import org.mulleinshift.store.StoreKeys;

/** The conditions under which the standby revokes the leader's lease, or must not. */
final class StandbyFailoverTest {
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId LEADER = new NodeId("node-1");
  private static final NodeId OTHER = new NodeId("node-2");

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final PeerFailureDetector peers = new PeerFailureDetector(loop, SELF);
  private final ClusterView view = new ClusterView();
  private final List<LeaderElection.TermLease> deposedTerms = new ArrayList<>();
  private boolean healthy = true;
  private boolean otherHearsLeader;
  private final StandbyFailover failover =
      new StandbyFailover(
          loop,
          SELF,
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          new StandbyFailover.Context(
              peers, view, () -> healthy, this::otherSendsHeartbeat, deposedTerms::add));

  @BeforeEach
  void becomeStandby() {
    KeyValue key =
        new KeyValue(
            StoreKeys.LEADER, ClusterView.leaderValue(LEADER, new LeaseId(9)), new Revision(4));
    view.apply(StoreKeys.LEADER, Optional.of(key));
    failover.start();
    leaderSendsHeartbeatsFor(3);
  }

  private void leaderSendsHeartbeatsFor(double seconds) {
    for (double past = 0; past < seconds; past += 0.1) {
      peers.onDirectMessage(LEADER);
      peers.onHeartbeat(
          LEADER, new Heartbeat(1L, 0L, false, "WELL", "node-1", 4L, "node-0", false, List.of()));
      loop.runFor(0.1);
    }
  }

  private void otherSendsHeartbeat() {
    long silenceMillis = otherHearsLeader ? 50 : 1000;
    peers.onDirectMessage(OTHER);
    peers.onHeartbeat(
        OTHER,
        new Heartbeat(
            2L,
            0L,
            false,
            "WELL",
            "",
            0L,
            "",
            false,
            List.of(new PeerLastHeard("node-1", silenceMillis))));
  }

  @Test
  void leaderThatNobodyHearsIsDeposedOnce() {
    loop.runFor(1.5);
    assertEquals(
        List.of(new LeaderElection.TermLease(new Revision(4), new LeaseId(9))), deposedTerms);
  }

  @Test
  void leaderThatAnotherControllerHearsStays() {
    otherHearsLeader = true;
    loop.runFor(4);
    assertEquals(List.of(), deposedTerms);
  }

  @Test
  void unhealthyStandbyDeposesNobody() {
    healthy = false;
    loop.runFor(4);
    assertEquals(List.of(), deposedTerms);
  }

  /** A standby whose request to revoke the lease was lost must be able to act again. */
  @Test
  void deposesAgainLaterIfTheLeaderWasAlive() {
    loop.runFor(1.5);
    leaderSendsHeartbeatsFor(3);
    assertEquals(1, deposedTerms.size());
    loop.runFor(1.7);
    assertEquals(1, deposedTerms.size(), "the timeout doubles after a false alarm");
    loop.runFor(1);
    assertEquals(2, deposedTerms.size());
  }
}
