package org.mulleinshift.controller;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.store.WatchCache;

/**
 * What this controller is fit for.
 *
 * @param session this controller's session in the store
 * @param storeHealth its connection to the store
 * @param controlKeys the cache of the control keys
 * @param jobsLoaded whether the active jobs were read once
 * @param catalog machine types
 * @param reachability whether it reaches its workers
 */
record ControllerReadiness(
    ControllerSession session,
    StoreHealth storeHealth,
    WatchCache controlKeys,
    BooleanSupplier jobsLoaded,
    MachineTypeCatalog catalog,
    Supplier<WorkerReachability.State> reachability) {

  /** May serve users; not while only this controller has lost the store: others can do better. */
  boolean canServe() {
    return isInitialized() && storeHealth.state() != StoreHealth.State.LOST;
  }

  /** May stand for election: its view of the stored state is current. */
  boolean canLead() {
    return isInitialized() && isStoreConnected() && isWatchingControlKeys();
  }

  /** All its own connections work, so that it may judge those of others. */
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
    return controlKeys.state() == WatchCache.State.WATCHING;
  }
}
