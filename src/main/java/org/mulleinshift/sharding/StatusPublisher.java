package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;

/** Sends the leader the statuses of the owned shards: periodically, and soon after a change. */
final class StatusPublisher {
  /** Changes within this time share a message. */
  private static final Duration CHANGE_DELAY = Duration.ofMillis(80);

  private static final Duration PUBLISH_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final Collection<ShardOwner> owners;
  private final Consumer<Object> toLeader;
  private boolean scheduled;

  /**
   * A publisher that is not started.
   *
   * @param owners of the shards that this node owns, as of now at any time
   */
  StatusPublisher(EventLoop loop, Collection<ShardOwner> owners, Consumer<Object> toLeader) {
    this.loop = loop;
    this.owners = owners;
    this.toLeader = toLeader;
  }

  /** Starts the periodic statuses. */
  void start() {
    loop.after(PUBLISH_INTERVAL, this::publishPeriodically);
  }

  private void publishPeriodically() {
    loop.after(PUBLISH_INTERVAL, this::publishPeriodically);
    owners.forEach(owner -> toLeader.accept(owner.statusReporter().periodicStatus()));
  }

  /** Publishes changes shortly; several share a status. */
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
