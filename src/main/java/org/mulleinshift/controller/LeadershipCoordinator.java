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
   * The components that the coordinator uses.
   *
   * @param self this controller
   * @param election the election, with the lease that this controller's leader key is bound to
   * @param currentTerm this controller's own term, if it leads
   * @param locator finds the leader
   * @param readiness tells whether this controller can lead
   * @param storeHealth the state of this controller's connection to the store
   * @param failureDetector provides the heartbeats of the peers
   * @param view the control keys as last read from the store
   * @param messenger sends messages to the other controllers
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

  /** Creates a coordinator for one controller. */
  LeadershipCoordinator(Context context) {
    this.context = context;
    this.self = context.self();
    this.election = context.election();
    this.view = context.view();
    this.messenger = context.messenger();
  }

  /**
   * Called when anything changes that decides whether this controller can stand for election or has
   * to resign.
   */
  void observeElection() {
    election.observe(view, context.readiness().canLead());
  }

  /**
   * Sends a message to the leader; drops it if no leader is known. While the lease of this
   * controller's own term may have expired, it does not count as the leader, even for its own
   * messages.
   */
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

  /** Resigns if peers that the store serves report a leader of a newer term. */
  void resignIfSuperseded() {
    context
        .locator()
        .reportedByPeers()
        .filter(record -> !record.node().equals(self))
        .filter(this::supersedesOwnTerm)
        .ifPresent(record -> election.resign("a peer reports a leader of a newer term"));
  }

  private boolean supersedesOwnTerm(ClusterView.LeaderRecord record) {
    return election.termLease().filter(own -> record.term().compareTo(own.term()) > 0).isPresent();
  }

  /**
   * Called when this controller has lost the store: if it leads, it resigns and names the first
   * peer that the store serves as its successor. Without such a peer it keeps its term.
   */
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
    election.resign("connection to the store lost");
    messenger.sendToOthers(transfer);
  }

  /** Handles the transfer of leadership from a leader that resigned to one of its peers. */
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
   * Deposes a failed leader by revoking its lease instead of waiting until it expires. This is safe
   * because every write of its term is conditional on the leader key, which is bound to the lease.
   */
  void depose(LeaderElection.TermLease failed) {
    election.takeOver(failed, view);
  }
}
