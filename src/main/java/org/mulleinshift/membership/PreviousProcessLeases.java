package org.mulleinshift.membership;

import java.time.Duration;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;

/**
 * The leases that an earlier process of this controller left in the store. That process has ended,
 * so its keys need not wait until the leases expire. Calls that fail are repeated.
 */
final class PreviousProcessLeases {
  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final Duration retryDelay;

  /**
   * Creates an instance that has revoked nothing.
   *
   * @param retryDelay time until a call that failed is repeated
   */
  PreviousProcessLeases(EventLoop loop, KeyValueStore store, NodeId self, Duration retryDelay) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.retryDelay = retryDelay;
  }

  /** Revokes the leader's lease, if that process led, and the session lease; then runs next. */
  void revokeAll(Runnable next) {
    store.get(
        StoreKeys.LEADER,
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Found<KeyValue> found
              && ClusterView.readLeader(found.value()).node().equals(self)) {
            LeaseId leaderLease = ClusterView.readLeader(found.value()).lease();
            revoke(leaderLease, () -> revokeSession(next));
          } else if (answer instanceof ReadResult.Found<KeyValue>
              || answer instanceof ReadResult.Absent<KeyValue>) {
            revokeSession(next);
          } else {
            loop.after(retryDelay, () -> revokeAll(next));
          }
        });
  }

  /** Revokes the session lease, if there is one, and runs next. */
  void revokeSession(Runnable next) {
    store.get(
        StoreKeys.node(self),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Found<KeyValue> found) {
            revoke(ClusterView.readNode(found.value()).lease(), next);
          } else if (answer instanceof ReadResult.Absent<KeyValue>) {
            next.run();
          } else {
            loop.after(retryDelay, () -> revokeSession(next));
          }
        });
  }

  private void revoke(LeaseId lease, Runnable next) {
    store.revokeLease(
        lease,
        answer -> {
          if (answer instanceof ReadResult.Found<Boolean>
              || answer instanceof ReadResult.Absent<Boolean>) {
            next.run();
          } else {
            loop.after(retryDelay, () -> revoke(lease, next));
          }
        });
  }
}
