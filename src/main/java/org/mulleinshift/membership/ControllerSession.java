package org.mulleinshift.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.membership.OwnershipLease.Evidence;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The session lease of this process in the store, to which its shard grants are attached, and the
 * evidence that the grants are current. The {@link OwnershipLease} determines for how long this
 * controller may act on them.
 */
public final class ControllerSession {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerSession.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /** Watched grant changes that arrive within this time are verified by a single read. */
  private static final Duration GRANT_VERIFICATION_DELAY = Duration.ofMillis(5);

  /** States of the session. */
  public enum State {
    /** Revoking the leases of this controller's previous process, which is known to have ended. */
    REVOKING_OLD,
    /** Requesting a lease from the store. */
    ACQUIRING,
    /** Creating this controller's node key, attached to the lease. */
    REGISTERING,
    /** The node key exists and the lease is being renewed. */
    ACTIVE
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final Duration ttl;
  private final Duration renewInterval;
  private final Runnable confirmCancellations;
  private final Runnable onChange;
  private final PreviousProcessLeases previousProcess;
  private final OwnershipLease ownership;
  private State state = State.REVOKING_OLD;
  private Optional<LeaseId> lease = Optional.empty();

  /** The store revision of the newest read of the grants. */
  private Revision grantsRevision = new Revision(0);

  private boolean lastLoggedValid;
  private Map<ShardId, Revision> verifiedGrants = Map.of();
  private boolean verificationScheduled;

  /**
   * Creates a session that has not started.
   *
   * @param ttl lifetime of the session lease and of the shard leases
   * @param renewInterval time between two renewals
   * @param confirmCancellations checks with the store that all cancellations are known; the result
   *     is passed to {@link #onCancellationsKnown}
   * @param onChange called when the state or the verified grants change
   */
  public ControllerSession(
      EventLoop loop,
      KeyValueStore store,
      NodeId self,
      Duration ttl,
      Duration renewInterval,
      Runnable confirmCancellations,
      Runnable onChange) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.ttl = ttl;
    this.renewInterval = renewInterval;
    this.confirmCancellations = confirmCancellations;
    this.onChange = onChange;
    this.previousProcess = new PreviousProcessLeases(loop, store, self, RETRY_DELAY);
    this.ownership = new OwnershipLease(ttl);
  }

  /** Revokes the leases that the previous process left in the store, then opens a session. */
  public void start() {
    previousProcess.revokeAll(this::acquire);
  }

  private void transitionTo(State next) {
    LOG.info("session state changed, from={} to={}", state, next);
    state = next;
    onChange.run();
  }

  private void acquire() {
    transitionTo(State.ACQUIRING);
    store.grantLease(
        ttl,
        answer -> {
          if (answer instanceof ReadResult.Found<LeaseId> found) {
            lease = Optional.of(found.value());
            register(found.value());
          } else {
            loop.after(RETRY_DELAY, this::acquire);
          }
        });
  }

  private void register(LeaseId ownLease) {
    transitionTo(State.REGISTERING);
    store.commit(
        List.of(new Compare(StoreKeys.node(self), new Revision(0))),
        List.of(Write.put(StoreKeys.node(self), ClusterView.nodeValue(ownLease), ownLease)),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (outcome instanceof KeyValueStore.CommitResult.Committed) {
            ownership.onSessionRegistered(loop.now());
            verifiedGrants = Map.of();
            transitionTo(State.ACTIVE);
            renew(ownLease);
          } else {
            // If the response was lost the key may exist: starting over finds it and revokes its
            // lease.
            loop.after(RETRY_DELAY, () -> previousProcess.revokeSession(this::acquire));
          }
        });
  }

  private void renew(LeaseId ownLease) {
    if (!lease.equals(Optional.of(ownLease))) {
      return;
    }
    MonotonicTime sent = loop.now();
    verifyGrants();
    if (!ownership.isFresh(Evidence.CANCELLATIONS_KNOWN, sent, renewInterval.dividedBy(2))) {
      confirmCancellations.run();
    }
    store.renewLease(
        ownLease,
        answer -> {
          if (!lease.equals(Optional.of(ownLease))) {
            // A peer has reported its expiry in the meantime.
            return;
          }
          if (answer instanceof ReadResult.Found<Boolean>) {
            onRenewed(sent);
            loop.after(renewInterval, () -> renew(ownLease));
          } else if (answer instanceof ReadResult.Absent<Boolean>) {
            onLeaseExpired(ownLease);
          } else {
            loop.after(RETRY_DELAY, () -> renew(ownLease));
          }
        });
  }

  private void onRenewed(MonotonicTime sent) {
    ownership.confirm(Evidence.SESSION_RENEWED, sent);
  }

  private void onLeaseExpired(LeaseId expired) {
    LOG.warn("session lease expired, lease={}", expired);
    lease = Optional.empty();
    ownership.invalidate(Evidence.SESSION_RENEWED);
    verifiedGrants = Map.of();
    acquire();
  }

  /**
   * Applies the own grants as read from the store. Several reads may be in flight, and the store
   * may serve them in another order than they were sent, so the revision tells which is newer. An
   * older one is evidence all the same: the grants known already are valid as of a later time than
   * it was sent. A read from before the session was registered is ignored: it may show grants of an
   * earlier session.
   */
  private void onGrantsVerified(
      MonotonicTime sent, Revision revision, Map<ShardId, Revision> ownGrants) {
    if (!ownership.confirm(Evidence.GRANTS_READ, sent)) {
      return;
    }
    if (revision.compareTo(grantsRevision) < 0) {
      LOG.debug("outdated grants ignored, revision={} known={}", revision, grantsRevision);
      return;
    }
    grantsRevision = revision;
    LOG.debug(
        "grants read, revision={} age_ms={} own={}",
        revision,
        loop.now().since(sent).toMillis(),
        ownGrants);
    boolean changed = !ownGrants.equals(verifiedGrants);
    verifiedGrants = ownGrants;
    if (changed) {
      onChange.run();
    }
  }

  /**
   * Called when a peer has renewed the session lease and read the grants on behalf of this
   * controller. Both happened after the request was sent, so the evidence is valid as of then.
   *
   * @param sent when this controller sent the request
   * @param revision the store revision as of which the grants are known
   * @param ownGrants the grants of this controller
   */
  public void onRenewedByPeer(
      LeaseId renewed, MonotonicTime sent, Revision revision, Map<ShardId, Revision> ownGrants) {
    if (state == State.ACTIVE && lease.equals(Optional.of(renewed))) {
      onRenewed(sent);
      onGrantsVerified(sent, revision, ownGrants);
    }
  }

  /** Called when a peer reports that the session lease has expired. */
  public void onExpiryReportedByPeer(LeaseId expired) {
    if (state == State.ACTIVE && lease.equals(Optional.of(expired))) {
      onLeaseExpired(expired);
    }
  }

  /** Reads the current grants. A watch can't confirm them since its events may be delayed. */
  private void verifyGrants() {
    MonotonicTime sent = loop.now();
    store.readAll(
        StoreKeys.GRANTS,
        answer -> {
          if (answer instanceof ReadResult.Found<StoreCodec.Range> found) {
            Map<ShardId, Revision> ownGrants = new HashMap<>();
            for (KeyValue item : found.value().items()) {
              ClusterView.readGrant(item)
                  .filter(grant -> grant.owner().equals(self))
                  .ifPresent(
                      grant -> ownGrants.put(StoreKeys.shardOfGrant(item.key()), grant.revision()));
            }
            onGrantsVerified(sent, found.value().revision(), ownGrants);
          }
        });
  }

  /** Schedules a read of the grants; called when a watch shows that a grant has changed. */
  public void scheduleGrantVerification() {
    if (verificationScheduled || state != State.ACTIVE) {
      return;
    }
    verificationScheduled = true;
    loop.after(
        GRANT_VERIFICATION_DELAY,
        () -> {
          verificationScheduled = false;
          verifyGrants();
        });
  }

  /**
   * Records that this controller knows every cancellation stored before the given time. If that was
   * before the session was registered, it is checked again.
   *
   * @param requestedAt when the request was sent whose response showed this
   */
  public void onCancellationsKnown(MonotonicTime requestedAt) {
    if (!ownership.confirm(Evidence.CANCELLATIONS_KNOWN, requestedAt) && state == State.ACTIVE) {
      confirmCancellations.run();
    }
  }

  /**
   * Whether this controller may act as the owner of the shard under the grant. Checked before every
   * action, since a timer that ended ownership could fire late.
   */
  public boolean isValidOwner(ShardId shard, Revision grant) {
    return hasValidOwnershipLease() && grant.equals(verifiedGrants.get(shard));
  }

  /** Whether the session is active and its ownership lease is valid. */
  boolean hasValidOwnershipLease() {
    return state == State.ACTIVE && ownership.isValid(loop.now());
  }

  /** Logs when the ownership lease becomes valid or expires; called periodically by an owner. */
  public void logLeaseValidityChange() {
    boolean valid = hasValidOwnershipLease();
    if (lastLoggedValid && !valid) {
      LOG.warn("ownership lease expired, {}", ownership.describeOldest(loop.now()));
    } else if (!lastLoggedValid && valid) {
      LOG.info("ownership lease valid");
    }
    lastLoggedValid = valid;
  }

  /** This controller's grants as last read from the store. */
  public Map<ShardId, Revision> verifiedGrants() {
    return verifiedGrants;
  }

  /** The session lease; empty unless the session is active. */
  public Optional<LeaseId> lease() {
    return state == State.ACTIVE ? lease : Optional.empty();
  }

  /** The state of the session. */
  public State state() {
    return state;
  }
}
