package org.mulleinshift.sharding;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
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
 * A shard as the leader knows it: its machines, what its owner reported, and which tasks the owner
 * was or will be told of. Both directions carry only what has changed since a version that the
 * other side confirmed, so that a message costs what changed and not the size of the shard.
 */
public final class ShardView implements AssignableShard {
  /** A shard's standing grant. */
  public record Grant(NodeId owner, Revision revision) {}

  private final ShardId id;
  private final ZoneId zone;
  private final Map<MachineId, MachineRecord> machines = new TreeMap<>();
  private final Map<MachineId, MachineStatus> statuses = new HashMap<>();
  private final Map<TaskId, TaskAssignment> published = new LinkedHashMap<>();
  private final ChangeLog<TaskId> changes = new ChangeLog<>();
  private Optional<Grant> grant = Optional.empty();
  private Optional<NodeId> granting = Optional.empty();
  private boolean onStatus;
  private long lastSequence;
  private long seenSequence;
  private MonotonicTime statusAt;
  private MonotonicTime heardAt;
  private MonotonicTime waitingSince;
  private long confirmedVersion;
  private long heardVersion;
  private long sentVersion;
  private long base;
  private boolean dirty = true;
  private Optional<UnknownFields> unknownFields = Optional.empty();
  private Optional<NodeId> lastOwner = Optional.empty();
  private MonotonicTime grantedAt;
  private final Map<MachineId, MonotonicTime> suspicions = new HashMap<>();

  public ShardView(ShardId id, ZoneId zone, MonotonicTime now) {
    this.id = id;
    this.zone = zone;
    this.statusAt = now;
    this.heardAt = now;
    this.waitingSince = now;
    this.grantedAt = now;
  }

  /** Who held the shard last, by its record or by its grants since; tells whether that is new. */
  public boolean lastOwner(Optional<NodeId> owner) {
    boolean news = owner.isPresent() && !owner.equals(lastOwner);
    lastOwner = news ? owner : lastOwner;
    return news;
  }

  @Override
  public Optional<NodeId> lastOwner() {
    return lastOwner;
  }

  @Override
  public Duration unownedFor(MonotonicTime now) {
    return grant.isPresent() ? Duration.ZERO : now.since(grantedAt);
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

  public void grant(Optional<Grant> next, MonotonicTime now) {
    if (!next.equals(grant)) {
      grant = next;
      grantedAt = now;
      heardAt = now;
      heardVersion = 0;
      onStatus = false;
      lastSequence = 0;
      seenSequence = 0;
      statuses.clear();
      suspicions.clear();
      // A new owner is sent the full set, under a higher version.
      confirmedVersion = 0;
      changes.clear();
      dirty = true;
      base = 0;
    }
  }

  /** Whether the report continues what is known; if not, the owner must tell again. */
  public boolean isContiguous(ShardStatus report) {
    return report.getBase() <= lastSequence;
  }

  /** Takes over the report's machines; tells which of them it named. */
  public List<MachineId> onStatus(ShardStatus report, MonotonicTime now) {
    onStatus = true;
    lastSequence = report.getSequence();
    statusAt = now;
    if (report.getBase() == 0) {
      statuses.clear();
    }
    List<MachineId> named = new ArrayList<>();
    for (MachineStatus machine : report.getMachines()) {
      MachineId key = new MachineId(machine.getMachine());
      statuses.put(key, machine);
      named.add(key);
    }
    return named;
  }

  /** The version up to which the owner knows the set of this term. */
  public void onAssignmentAck(long version, MonotonicTime now) {
    if (version > confirmedVersion) {
      confirmedVersion = version;
      waitingSince = now;
      changes.confirmed(version);
    }
  }

  public boolean hasStatus() {
    return onStatus;
  }

  public long lastSequence() {
    return lastSequence;
  }

  /** Whether the owner should hear up to where it is known; asked once for each report. */
  public boolean ackDue() {
    boolean news = seenSequence != lastSequence;
    seenSequence = lastSequence;
    return news;
  }

  public Optional<MachineStatus> statusOf(MachineId machine) {
    return Optional.ofNullable(statuses.get(machine));
  }

  /** A stored assignment that the owner is to hear of, or hear of again. */
  public void publish(TaskAssignment assignment) {
    published.put(assignment.task(), assignment);
    changes.changed(assignment.task(), sentVersion + 1);
    dirty = true;
  }

  public void retract(TaskAssignment assignment) {
    if (published.remove(assignment.task(), assignment)) {
      changes.changed(assignment.task(), sentVersion + 1);
      dirty = true;
    }
  }

  public Collection<TaskAssignment> published() {
    return published.values();
  }

  public Optional<TaskAssignment> published(TaskId task) {
    return Optional.ofNullable(published.get(task));
  }

  public void markDirty() {
    dirty = true;
  }

  /** Whether something is to be sent that was not sent yet. */
  public boolean dirty() {
    return dirty;
  }

  /** Whether the owner has long not confirmed what was sent: it is sent from there again. */
  public boolean resendDue(MonotonicTime now, Duration patience) {
    boolean lost =
        confirmedVersion < sentVersion && now.since(waitingSince).compareTo(patience) >= 0;
    if (lost) {
      base = confirmedVersion;
      waitingSince = now;
    }
    return lost;
  }

  /** The version on which the next message builds; 0: it holds the full set. */
  long base() {
    return base;
  }

  /** Tasks to name in a message that builds on this version. */
  List<TaskId> changesSince(long version) {
    return version == 0 ? List.copyOf(published.keySet()) : changes.since(version);
  }

  /** A message is sent; tells its version. */
  long send(MonotonicTime now) {
    dirty = false;
    if (confirmedVersion >= sentVersion) {
      waitingSince = now;
    }
    sentVersion++;
    base = sentVersion;
    return sentVersion;
  }

  @Override
  public Duration unacknowledgedFor(MonotonicTime now) {
    boolean all = !dirty && confirmedVersion >= sentVersion;
    if (all || confirmedVersion > heardVersion || grant.isEmpty()) {
      heardAt = now;
      heardVersion = confirmedVersion;
    }
    return now.since(heardAt);
  }

  /** A machine reported elsewhere, since its owner does not answer it. */
  public void onSuspicion(MachineId machine, MonotonicTime now) {
    if (machines.containsKey(machine)) {
      suspicions.put(machine, now);
    }
  }

  /**
   * How many machines knocked elsewhere within that time, of those that their owner does not say it
   * hears: copies of reports come late, also of machines that are well.
   */
  int suspicions(Duration within, MonotonicTime now) {
    suspicions.values().removeIf(at -> now.since(at).compareTo(within) > 0);
    return (int) suspicions.keySet().stream().filter(machine -> !heard(machine)).count();
  }

  private boolean heard(MachineId machine) {
    return statusOf(machine)
        .filter(report -> report.getLiveness().equals(OwnedMachine.Liveness.ALIVE.wireName()))
        .isPresent();
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
  public int size() {
    return machines.size();
  }

  public Map<MachineId, MachineRecord> machines() {
    return machines;
  }

  public Optional<Grant> grant() {
    return grant;
  }

  @Override
  public Optional<NodeId> owner() {
    return grant.map(Grant::owner);
  }

  @Override
  public Optional<NodeId> pendingOwner() {
    return granting;
  }

  void granting(Optional<NodeId> next) {
    granting = next;
  }

  public MonotonicTime statusAt() {
    return statusAt;
  }
}
