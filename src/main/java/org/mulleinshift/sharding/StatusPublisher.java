package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;

/** Sends the statuses of the owned shards to the leader, periodically and soon after a change. */
final class StatusPublisher {
  /** Changes of a shard within this time share a status. */
  private static final Duration CHANGE_DELAY = Duration.ofMillis(80);

  private static final Duration PUBLISH_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final Collection<ShardOwner> owners;
  private final Consumer<Object> toLeader;
  private boolean scheduled;

  /**
   * Creates a publisher that is not started.
   *
   * @param owners live view of the owners of this node's shards
   */
  StatusPublisher(EventLoop loop, Collection<ShardOwner> owners, Consumer<Object> toLeader) {
    this.loop = loop;
    this.owners = owners;
    this.toLeader = toLeader;
  }

  /** Starts sending periodic statuses. */
  void start() {
    loop.after(PUBLISH_INTERVAL, this::publishPeriodically);
  }

  private void publishPeriodically() {
    loop.after(PUBLISH_INTERVAL, this::publishPeriodically);
    owners.forEach(owner -> toLeader.accept(owner.statusReporter().periodicStatus()));
  }

  /** Publishes changes after a short delay, so that several changes share a status. */
  void publishSoon() {
    if (!scheduled) {
      scheduled = true;
      loop.after(
          CHANGE_DELAY,
          () -> {
            scheduled = false;
            publishChanges();
          });
    }
  }

  private void publishChanges() {
    for (ShardOwner owner : owners) {
      if (owner.statusReporter().hasUnsentChanges()) {
        toLeader.accept(owner.statusReporter().incrementalStatus());
      }
    }
  }
}
