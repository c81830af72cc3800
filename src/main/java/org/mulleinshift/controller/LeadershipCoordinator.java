package org.mulleinshift.controller;

import java.util.List;
import java.util.Optional;
import org.mulleinshift.membership.LeaderElection;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.LeadershipTransfer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides when this controller stands for election, resigns, or asks a peer to lead instead. */
final class LeadershipCoordinator {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipCoordinator.class);

  /**
   * What leadership depends on.
   *
   * @param self this controller
   * @param election the election and this controller's lease of the leader's key
   * @param currentTerm this controller's own term, if it leads
   * @param locator who leads
   * @param readiness whether this controller can lead
   * @param storeHealth this controller's connection to the store
   * @param failureDetector heartbeats of the peers
   * @param view control keys as last shown by the store
   * @param messenger sends to the other controllers
   */
  record Context(
      NodeId self,
      LeaderElection election,
      CurrentTerm currentTerm,
      LeaderLocator locator,
      ControllerReadiness readiness,
      StoreHealth storeHealth,
      PeerFailureDetector failureDetector,
      ClusterView view,
      FrameMessenger messenger) {}

  private final Context context;
  private final NodeId self;
  private final LeaderElection election;
  private final ClusterView view;
  private final FrameMessenger messenger;

  /** A coordinator for one controller. */
  LeadershipCoordinator(Context context) {
    this.context = context;
    this.self = context.self();
    this.election = context.election();
    this.view = context.view();
    this.messenger = context.messenger();
  }

  /** Something has changed on which it depends whether this controller leads or stands. */
  void observeElection() {
    election.observe(view, context.readiness().canLead());
  }

  /** A leader whose lease may have expired takes no messages, not even its own. */
  void sendToLeader(Object message) {
    if (context.currentTerm().exists() && election.holdsValidLease()) {
      messenger.send(self, message);
    } else {
      context
          .locator()
          .newest()
          .filter(record -> !record.node().equals(self))
          .ifPresent(record -> messenger.send(record.node(), message));
    }
  }

  /** Resigns if peers that the store serves see a leader of a newer term. */
  void resignIfSuperseded() {
    context
        .locator()
        .reportedByPeers()
        .filter(record -> !record.node().equals(self))
        .filter(this::supersedesOwnTerm)
        .ifPresent(record -> election.resign("a peer sees another leader"));
  }

  private boolean supersedesOwnTerm(ClusterView.LeaderRecord record) {
    return election.termLease().filter(own -> record.term().compareTo(own.term()) > 0).isPresent();
  }

  /** A leader that lost the store asks the first peer that the store serves to lead. */
  void transferLeadership() {
    Optional<LeaderElection.TermLease> own = election.termLease();
    List<NodeId> served = context.failureDetector().peersServedByStore();
    if (own.isEmpty() || served.isEmpty()) {
      return;
    }
    NodeId successor = served.get(0);
    LeadershipTransfer transfer =
        new LeadershipTransfer(
            own.get().term().value(), own.get().lease().value(), successor.value());
    LOG.warn("leadership transferred, term={} successor={}", own.get().term(), successor);
    election.resign("the store is lost");
    messenger.sendToOthers(transfer);
  }

  /** A leader has transferred its leadership, to this controller or to another. */
  void onLeadershipTransfer(LeadershipTransfer transfer) {
    if (context.storeHealth().state() == StoreHealth.State.CONNECTED) {
      LeaderElection.TermLease ended =
          new LeaderElection.TermLease(
              new Revision(transfer.getTerm()), new LeaseId(transfer.getLease()));
      if (transfer.getSuccessor().equals(self.value())) {
        election.takeOver(ended, view);
      } else {
        election.deferToSuccessor(ended, view);
      }
    }
  }

  /**
   * Deposes a failed leader: its lease need not expire by itself, since every write of its term is
   * guarded by it.
   */
  void depose(LeaderElection.TermLease failed) {
    election.takeOver(failed, view);
  }
}
