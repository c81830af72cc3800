package org.mulleinshift.sharding;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.mulleinshift.membership.AssignableShard;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.model.UnknownFields;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.transport.MonotonicTime;

/**
 * A shard as the leader knows it: its machines, its grant, what its owner reported, and which tasks
 * are assigned to it. Both directions carry only what has changed since a version that the other
 * side acknowledged, so that a message costs what changed and not the size of the shard.
 */
public final class ShardView implements AssignableShard {
  /**
   * A shard's current grant.
   *
   * @param revision of the store at which it was written: rises with every grant
   */
  public record Grant(NodeId owner, Revision revision) {}

  /** A machine reported to another controller than its owner. */
  private record Suspicion(NodeId reporter, MonotonicTime at) {}

  private final ShardId id;
  private final ZoneId zone;
  private final Map<MachineId, MachineRecord> machines = new TreeMap<>();
  private final Map<MachineId, MachineStatus> statuses = new HashMap<>();
  private final Map<MachineId, Suspicion> suspicions = new HashMap<>();
  private final PublishedAssignments assignments;
  private Optional<UnknownFields> unknownFields = Optional.empty();
  private Optional<Grant> grant = Optional.empty();
  private MonotonicTime grantChangedAt;
  private Optional<NodeId> pendingOwner = Optional.empty();
  private Optional<NodeId> lastOwner = Optional.empty();
  private boolean statusReceived;
  private MonotonicTime statusAt;
  private long lastSequence;
  private long acknowledgedSequence;

  /** A shard without machines and without an owner. */
  public ShardView(ShardId id, ZoneId zone, MonotonicTime now) {
    this.id = id;
    this.zone = zone;
    this.statusAt = now;
    this.grantChangedAt = now;
    this.assignments = new PublishedAssignments(now);
  }

  @Override
  public ShardId id() {
    return id;
  }

  @Override
  public ZoneId zone() {
    return zone;
  }

  @Override
  public int machineCount() {
    return machines.size();
  }

  /** Its machines, which the caller may change; the change counts once it is stored. */
  public Map<MachineId, MachineRecord> machines() {
    return machines;
  }

  /** Fields of its record that this build doesn't know. */
  public void unknownFields(Optional<UnknownFields> fields) {
    unknownFields = fields;
  }

  /** Its record as it is to be stored. */
  public JsonNode storedValue() {
    JsonNode node = ShardRecord.write(zone, machines, lastOwner);
    unknownFields.ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** Its current grant, if it has one. */
  public Optional<Grant> grant() {
    return grant;
  }

  /** Its grant as stored now. What an earlier owner reported and acknowledged no longer counts. */
  public void grant(Optional<Grant> next, MonotonicTime now) {
    if (!next.equals(grant)) {
      grant = next;
      grantChangedAt = now;
      statusReceived = false;
      lastSequence = 0;
      acknowledgedSequence = 0;
      statuses.clear();
      suspicions.clear();
      assignments.resetForNewOwner(now);
    }
  }

  @Override
  public Optional<NodeId> owner() {
    return grant.map(Grant::owner);
  }

  @Override
  public Optional<NodeId> pendingOwner() {
    return pendingOwner;
  }

  /** The owner whose grant is being stored; empty once it is stored or refused. */
  void pendingOwner(Optional<NodeId> next) {
    pendingOwner = next;
  }

  @Override
  public Optional<NodeId> lastOwner() {
    return lastOwner;
  }

  /**
   * Notes who owned the shard last, by its record or by its grants since.
   *
   * @return whether that differs from before
   */
  public boolean lastOwner(Optional<NodeId> owner) {
    boolean changed = owner.isPresent() && !owner.equals(lastOwner);
    lastOwner = changed ? owner : lastOwner;
    return changed;
  }

  @Override
  public Duration unownedFor(MonotonicTime now) {
    return grant.isPresent() ? Duration.ZERO : now.since(grantChangedAt);
  }

  @Override
  public Duration grantUnchangedFor(MonotonicTime now) {
    return now.since(grantChangedAt);
  }

  /** Whether the status continues what is known; if not, the owner must send it from there. */
  public boolean isContiguous(ShardStatus status) {
    return status.getBase() <= lastSequence;
  }

  /** Takes over the machines of a status; returns which of them it named. */
  public List<MachineId> onStatus(ShardStatus status, MonotonicTime now) {
    statusReceived = true;
    lastSequence = status.getSequence();
    statusAt = now;
    if (status.getBase() == 0) {
      statuses.clear();
    }
    List<MachineId> named = new ArrayList<>();
    for (MachineStatus machine : status.getMachines()) {
      MachineId key = new MachineId(machine.getMachine());
      statuses.put(key, machine);
      named.add(key);
    }
    return named;
  }

  /** Whether the current owner has sent a status. */
  public boolean hasStatus() {
    return statusReceived;
  }

  /** When the last status came. */
  public MonotonicTime statusAt() {
    return statusAt;
  }

  /** The sequence number of the owner's last status. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Whether the owner should hear up to where it is known; asked once for each status. */
  public boolean ackDue() {
    boolean due = acknowledgedSequence != lastSequence;
    acknowledgedSequence = lastSequence;
    return due;
  }

  /** What the owner last reported of the machine. */
  public Optional<MachineStatus> statusOf(MachineId machine) {
    return Optional.ofNullable(statuses.get(machine));
  }

  /** What the owner has received or is to receive. */
  PublishedAssignments assignments() {
    return assignments;
  }

  /** Something that the owner receives has changed, so that a message is due. */
  public void markDirty() {
    assignments.markDirty();
  }

  /** The version up to which the owner knows the set of this term. */
  public void onAssignmentAck(long version, MonotonicTime now) {
    assignments.onAck(version, now);
  }

  /** The stored assignments that the owner has received or is to receive. */
  public Collection<TaskAssignment> published() {
    return assignments.all();
  }

  /** The stored assignment of the task, if the owner has received or is to receive one. */
  public Optional<TaskAssignment> published(TaskId task) {
    return assignments.find(task);
  }

  @Override
  public Duration unacknowledgedFor(MonotonicTime now) {
    return assignments.unacknowledgedFor(now, grant.isPresent());
  }

  /** A machine reported elsewhere, since its owner does not answer it. */
  public void onSuspicion(MachineId machine, NodeId reporter, MonotonicTime now) {
    if (machines.containsKey(machine)) {
      suspicions.put(machine, new Suspicion(reporter, now));
    }
  }

  /**
   * How many machines reported elsewhere within that time, of those that their owner does not
   * report as alive: copies of heartbeats come late, also of machines that are well.
   */
  int suspicions(Duration within, MonotonicTime now) {
    suspicions.values().removeIf(suspicion -> now.since(suspicion.at()).compareTo(within) > 0);
    return (int) suspicions.keySet().stream().filter(machine -> !isAlive(machine)).count();
  }

  @Override
  public Set<NodeId> recentlyContactedControllers() {
    return suspicions.values().stream().map(Suspicion::reporter).collect(Collectors.toSet());
  }

  private boolean isAlive(MachineId machine) {
    return statusOf(machine)
        .filter(status -> status.getLiveness().equals(MachineLiveness.ALIVE.wireName()))
        .isPresent();
  }
}
