package org.mulleinshift.sharding;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.model.Machine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** The provisioned machines as the leader of a term tracks them, by id. */
public final class MachineTable {
  private final EventLoop loop;
  private final ShardTable shards;
  private final Map<MachineId, Machine> machines = new HashMap<>();

  /** An empty table; the shards know which machines are stored as up. */
  public MachineTable(EventLoop loop, ShardTable shards) {
    this.loop = loop;
    this.shards = shards;
  }

  /** The machine; one that was not tracked yet was there before this term, or is unexpected. */
  public Machine getOrTrack(MachineId id) {
    return machines.computeIfAbsent(id, key -> Machine.found(loop.now(), isStoredAsUp(key)));
  }

  /** A machine whose provisioning this leader requested. */
  public void addProvisioned(MachineId id, MonotonicTime requestedAt) {
    machines.put(id, Machine.provisioned(requestedAt));
  }

  /** The machine, if it is tracked. */
  public Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /** Whether the machine is draining or being released. */
  public boolean isCordoned(MachineId id) {
    return find(id).filter(Machine::cordoned).isPresent();
  }

  /** The machines were deleted. */
  public void removeAll(Collection<MachineId> ids) {
    ids.forEach(machines::remove);
  }

  private boolean isStoredAsUp(MachineId id) {
    return shards.all().stream()
        .map(shard -> shard.machines().get(id))
        .anyMatch(record -> record != null && record.up());
  }
}
