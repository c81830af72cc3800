package org.mulleinshift.sharding;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.model.Machine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** The machines that the leader of a term tracks, by id. */
public final class MachineTable {
  private final EventLoop loop;
  private final ShardTable shards;
  private final Map<MachineId, Machine> machines = new HashMap<>();

  /** Creates an empty table. The shards' records tell which machines are stored as up. */
  public MachineTable(EventLoop loop, ShardTable shards) {
    this.loop = loop;
    this.shards = shards;
  }

  /**
   * Returns the machine and tracks it from now on. One that was not tracked was provisioned before
   * this term or is unexpected; it counts as up if its shard's record says so.
   */
  public Machine getOrTrack(MachineId id) {
    return machines.computeIfAbsent(id, key -> Machine.discovered(loop.now(), isStoredAsUp(key)));
  }

  /** Tracks a machine whose provisioning this leader requested. */
  public void addProvisioned(MachineId id, MonotonicTime requestedAt) {
    machines.put(id, Machine.provisioned(requestedAt));
  }

  /** Returns the machine; empty if it is not tracked. */
  public Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /** Whether the machine is draining or being released; false if it is not tracked. */
  public boolean isCordoned(MachineId id) {
    return find(id).filter(Machine::cordoned).isPresent();
  }

  /** Stops tracking machines, which were deleted. */
  public void removeAll(Collection<MachineId> ids) {
    ids.forEach(machines::remove);
  }

  private boolean isStoredAsUp(MachineId id) {
    return shards.all().stream()
        .map(shard -> shard.machines().get(id))
        .anyMatch(record -> record != null && record.up());
  }
}
