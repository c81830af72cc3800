package org.mulleinshift.controller;

import java.util.Optional;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.model.ClusterView;

/** Knows who leads, also while this controller has lost the store. */
final class LeaderLocator {
  private final ClusterView view;
  private final StoreHealth storeHealth;
  private final PeerFailureDetector failureDetector;

  /**
   * A locator.
   *
   * @param view control keys as last shown by the store
   * @param storeHealth whether the view is kept current
   * @param failureDetector heartbeats of the peers
   */
  LeaderLocator(ClusterView view, StoreHealth storeHealth, PeerFailureDetector failureDetector) {
    this.view = view;
    this.storeHealth = storeHealth;
    this.failureDetector = failureDetector;
  }

  /** The leader by this controller's own view, unless the view may be out of date. */
  Optional<ClusterView.LeaderRecord> confirmedByStore() {
    return servedByStore() ? view.leader() : Optional.empty();
  }

  /** The leader by the peers that the store serves; asked only where the own view doesn't count. */
  Optional<ClusterView.LeaderRecord> reportedByPeers() {
    return servedByStore() ? Optional.empty() : failureDetector.leaderReportedByPeers();
  }

  /** The leader of the newest term, by the own view or by peers. */
  Optional<ClusterView.LeaderRecord> newest() {
    Optional<ClusterView.LeaderRecord> viewed = view.leader();
    Optional<ClusterView.LeaderRecord> reported = reportedByPeers();
    boolean reportedIsNewer =
        reported.isPresent()
            && (viewed.isEmpty() || reported.get().term().compareTo(viewed.get().term()) > 0);
    return reportedIsNewer ? reported : viewed;
  }

  private boolean servedByStore() {
    return storeHealth.state() == StoreHealth.State.CONNECTED;
  }
}
