package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.GrantRecord;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports to the leader, in batches, machines whose owner does not respond to them. */
final class SuspicionReporter {
  private static final Logger LOG = LoggerFactory.getLogger(SuspicionReporter.class);
  private static final Duration BATCHING_DELAY = Duration.ofMillis(400);

  private final EventLoop loop;
  private final ClusterView view;
  private final Consumer<Object> toLeader;
  private final Map<ShardId, Set<MachineId>> pending = new HashMap<>();

  /** Creates a reporter with nothing to report. */
  SuspicionReporter(EventLoop loop, ClusterView view, Consumer<Object> toLeader) {
    this.loop = loop;
    this.view = view;
    this.toLeader = toLeader;
  }

  /** Adds a reachable machine that the shard's owner does not respond to. */
  void report(ShardId shard, MachineId machine) {
    if (pending.isEmpty()) {
      loop.after(BATCHING_DELAY, this::send);
    }
    pending.computeIfAbsent(shard, key -> new TreeSet<>()).add(machine);
  }

  private void send() {
    pending.forEach(
        (shard, machines) -> {
          GrantRecord grant = view.grants().get(shard);
          if (grant != null) {
            LOG.info(
                "owner suspected, shard={} owner={} machines={}",
                shard,
                grant.owner(),
                machines.size());
            toLeader.accept(
                new OwnerSuspicion(
                    shard.value(),
                    grant.revision().value(),
                    machines.stream().map(MachineId::value).toList()));
          }
        });
    pending.clear();
  }
}
