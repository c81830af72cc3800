package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.transport.EventLoop;

/**
 * Sends shard owners the changes of their assignments. Changes made in one step of the event loop
 * share a message; changes that stay unacknowledged are sent again.
 */
public final class AssignmentSender {
  private static final Duration RESEND_AFTER = Duration.ofMillis(700);

  private final EventLoop loop;
  private final LeadershipTerm term;
  private final ShardTable shards;
  private final AssignmentWriter writer;
  private final BiConsumer<NodeId, Object> send;
  private boolean scheduled;

  /**
   * Creates a sender for one term.
   *
   * @param send sends a message to a controller
   */
  public AssignmentSender(
      EventLoop loop,
      LeadershipTerm term,
      ShardTable shards,
      AssignmentWriter writer,
      BiConsumer<NodeId, Object> send) {
    this.loop = loop;
    this.term = term;
    this.shards = shards;
    this.writer = writer;
    this.send = send;
  }

  /** Sends pending changes at the end of the current step of the event loop. */
  public void schedule() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    loop.post(
        () -> {
          scheduled = false;
          sendNow();
        });
  }

  /**
   * Sends all unsent changes and all due resends; does nothing if the term is not active or its
   * lease is not valid.
   */
  public void sendNow() {
    if (!term.isActive() || !term.hasValidLease()) {
      return;
    }
    for (ShardView shard : shards.all()) {
      Optional<NodeId> owner = shard.owner();
      PublishedAssignments assignments = shard.assignments();
      if (owner.isPresent()
          && (assignments.startResendIfDue(loop.now(), RESEND_AFTER)
              || assignments.hasUnsentChanges())) {
        send.accept(owner.get(), writer.writeChanges(shard));
      }
    }
  }
}
