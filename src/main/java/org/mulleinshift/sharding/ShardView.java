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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's view of a shard: its machines, its grant, what its owner reported, and the tasks
 * assigned to it. Assignments and statuses are sent as changes since an earlier version, so the
 * size of a message depends on the number of changes and not on the size of the shard.
 */
public final class ShardView implements AssignableShard {
  private static final Logger LOG = LoggerFactory.getLogger(ShardView.class);

  /**
   * A shard's current grant.
   *
   * @param revision the store revision at which it was written; increases with every grant
   */
  public record Grant(NodeId owner, Revision revision) {}

  /** The last report that a machine sent a heartbeat to a controller other than its owner. */
  private record Suspicion(NodeId reporter, MonotonicTime at) {}

  private final ShardId id;
  private final ZoneId zone;
  private final Map<MachineId, MachineRecord> machines = new TreeMap<>();
  private final Map<MachineId, MachineStatus> statuses = new HashMap<>();
  private final Map<MachineId, Suspicion> suspicions = new HashMap<>();
  private final PublishedAssignments assignments;
  private Optional<UnknownFields> unknownFields = Optional.empty();
  private Optional<Grant> grant = Optional.empty();

  /** The revision as of which the grant is known. */
  private Revision grantKnownAsOf = new Revision(0);

  private MonotonicTime grantChangedAt;
  private Optional<NodeId> pendingOwner = Optional.empty();
  private Optional<NodeId> lastOwner = Optional.empty();
  private boolean statusReceived;
  private MonotonicTime lastStatusAt;
  private long lastSequence;
  private long acknowledgedSequence;

  /** Creates a shard without machines and without an owner. */
  public ShardView(ShardId id, ZoneId zone, MonotonicTime now) {
    this.id = id;
    this.zone = zone;
    this.lastStatusAt = now;
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

  /** Its machines. The caller may modify the map; a change takes effect once it is stored. */
  public Map<MachineId, MachineRecord> machines() {
    return machines;
  }

  /** Sets the fields of its record that this build doesn't know; they are stored unchanged. */
  public void setUnknownFields(Optional<UnknownFields> fields) {
    unknownFields = fields;
  }

  /** Returns the record to be stored. */
  public JsonNode storedValue() {
    JsonNode node = ShardRecord.write(zone, machines, lastOwner);
    unknownFields.ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** The current grant; empty if the shard has none. */
  public Optional<Grant> grant() {
    return grant;
  }

  /**
   * Applies what is known of the stored grant as of a revision. Knowledge that is older than what
   * was applied before changes nothing: answers of the store arrive in any order. A new grant
   * discards what an earlier owner reported and acknowledged.
   *
   * @param next the grant; empty if the shard had none
   * @param asOf a revision at which the store had this grant, or none
   * @return whether it is as new as what was known before
   */
  boolean applyGrant(Optional<Grant> next, Revision asOf, MonotonicTime now) {
    if (asOf.compareTo(grantKnownAsOf) < 0) {
      LOG.debug(
          "outdated grant ignored, shard={} grant={} as_of={} known_as_of={}",
          id,
          describe(next),
          asOf,
          grantKnownAsOf);
      return false;
    }
    grantKnownAsOf = asOf;
    if (!next.equals(grant)) {
      LOG.info(
          "shard grant changed, shard={} from={} to={} as_of={}",
          id,
          describe(grant),
          describe(next),
          asOf);
      grant = next;
      grantChangedAt = now;
      statusReceived = false;
      lastSequence = 0;
      acknowledgedSequence = 0;
      statuses.clear();
      suspicions.clear();
      assignments.resetForNewOwner(now);
    }
    return true;
  }

  private static String describe(Optional<Grant> grant) {
    return grant.map(present -> present.owner() + "/" + present.revision()).orElse("none");
  }

  @Override
  public Optional<NodeId> owner() {
    return grant.map(Grant::owner);
  }

  @Override
  public Optional<NodeId> pendingOwner() {
    return pendingOwner;
  }

  /** Sets the owner whose grant is being stored; empty once it is stored or no longer wanted. */
  void setPendingOwner(Optional<NodeId> next) {
    pendingOwner = next;
  }

  @Override
  public Optional<NodeId> lastOwner() {
    return lastOwner;
  }

  /**
   * Records the last owner of the shard, as known from its record or from a later grant; an empty
   * value changes nothing.
   *
   * @return whether the last owner has changed
   */
  public boolean setLastOwner(Optional<NodeId> owner) {
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

  /**
   * Whether the status builds on one that was received. If not, the owner must send the changes
   * since {@link #lastSequence}.
   */
  public boolean isContiguous(ShardStatus status) {
    return status.getBase() <= lastSequence;
  }

  /** Applies the machine statuses of a shard status, and returns the machines that it contains. */
  public List<MachineId> onStatus(ShardStatus status, MonotonicTime now) {
    statusReceived = true;
    lastSequence = status.getSequence();
    lastStatusAt = now;
    if (status.getBase() == 0) {
      statuses.clear();
    }
    List<MachineId> reported = new ArrayList<>();
    for (MachineStatus machine : status.getMachines()) {
      MachineId machineId = new MachineId(machine.getMachine());
      statuses.put(machineId, machine);
      reported.add(machineId);
    }
    return reported;
  }

  /** Whether the current owner has sent a status. */
  public boolean hasStatus() {
    return statusReceived;
  }

  /** When the last status was received; before the first one, when this view was created. */
  public MonotonicTime lastStatusAt() {
    return lastStatusAt;
  }

  /** The sequence number of the current owner's last status; 0 before the first one. */
  public long lastSequence() {
    return lastSequence;
  }

  /**
   * Whether the last status must be acknowledged to the owner. It counts as acknowledged from then
   * on, so a second call returns false until the next status.
   */
  public boolean takeAckDue() {
    boolean due = acknowledgedSequence != lastSequence;
    acknowledgedSequence = lastSequence;
    return due;
  }

  /** The last status of the machine from the current owner; empty if there is none. */
  public Optional<MachineStatus> statusOf(MachineId machine) {
    return Optional.ofNullable(statuses.get(machine));
  }

  /** The assignments that the owner has received or is to receive. */
  PublishedAssignments assignments() {
    return assignments;
  }

  /** Has a message sent to the owner, since something that it contains has changed. */
  public void markDirty() {
    assignments.markDirty();
  }

  /** Records that the owner has acknowledged this term's assignments up to a version. */
  public void onAssignmentAck(long version, MonotonicTime now) {
    assignments.onAck(version, now);
  }

  /** Returns the stored assignments that the owner has received or is to receive. */
  public Collection<TaskAssignment> published() {
    return assignments.all();
  }

  /** Returns the published assignment of the task; empty if there is none. */
  public Optional<TaskAssignment> published(TaskId task) {
    return assignments.find(task);
  }

  @Override
  public Duration unacknowledgedFor(MonotonicTime now) {
    return assignments.unacknowledgedFor(now, grant.isPresent());
  }

  /**
   * Records that a machine sent a heartbeat to another controller since its owner didn't respond.
   */
  public void onSuspicion(MachineId machine, NodeId reporter, MonotonicTime now) {
    if (machines.containsKey(machine)) {
      suspicions.put(machine, new Suspicion(reporter, now));
    }
  }

  /**
   * Counts the machines that sent heartbeats to other controllers within the window, and discards
   * older reports. Machines that the owner reports as alive don't count: delayed duplicates of
   * heartbeats also arrive from healthy machines.
   */
  int countSuspicions(Duration window, MonotonicTime now) {
    suspicions.values().removeIf(suspicion -> now.since(suspicion.at()).compareTo(window) > 0);
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
