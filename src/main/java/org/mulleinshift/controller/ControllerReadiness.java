package org.mulleinshift.controller;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.store.PrefixWatcher;

/**
 * Whether this controller is ready to serve users, to lead, and to judge the health of others.
 *
 * @param session this controller's session in the store
 * @param storeHealth the state of its connection to the store
 * @param controlKeys the watcher of the control keys
 * @param jobsLoaded whether all active jobs have been read once
 * @param catalog the machine types, which must be known
 * @param reachability the state of its connection to its workers
 */
record ControllerReadiness(
    ControllerSession session,
    StoreHealth storeHealth,
    PrefixWatcher controlKeys,
    BooleanSupplier jobsLoaded,
    MachineTypeCatalog catalog,
    Supplier<WorkerReachability.State> reachability) {

  /**
   * Returns whether it may serve users. It may not while it has lost the store and a peer has not,
   * since that peer can serve them.
   */
  boolean canServe() {
    return isInitialized() && storeHealth.state() != StoreHealth.State.LOST;
  }

  /** Returns whether it may stand for election, for which its view of the store must be current. */
  boolean canLead() {
    return isInitialized() && isStoreConnected() && isWatchingControlKeys();
  }

  /** Returns whether all its own connections work, so that it may judge those of others. */
  boolean connectionsHealthy() {
    return isStoreConnected()
        && reachability.get() == WorkerReachability.State.REACHABLE
        && isWatchingControlKeys();
  }

  private boolean isInitialized() {
    return session.state() == ControllerSession.State.ACTIVE
        && jobsLoaded.getAsBoolean()
        && catalog.isLoaded();
  }

  private boolean isStoreConnected() {
    return storeHealth.state() == StoreHealth.State.CONNECTED;
  }

  private boolean isWatchingControlKeys() {
    return controlKeys.state() == PrefixWatcher.State.WATCHING;
  }
}
