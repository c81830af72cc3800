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
  private final Map<MachineId, MachineStatus> reports = new HashMap<>();
  private final Map<TaskId, TaskAssignment> told = new LinkedHashMap<>();
  private final ChangeLog<TaskId> changes = new ChangeLog<>();
  private Optional<Grant> grant = Optional.empty();
  private Optional<NodeId> granting = Optional.empty();
  private boolean reported;
  private long lastSequence;
  private long seenSequence;
  private MonotonicTime reportedAt;
  private MonotonicTime heardAt;
  private MonotonicTime waitingSince;
  private long confirmedVersion;
  private long heardVersion;
  private long sentVersion;
  private long base;
  private boolean dirty = true;
  private Optional<UnknownFields> beyond = Optional.empty();
  private Optional<NodeId> lastOwner = Optional.empty();
  private MonotonicTime grantedAt;
  private final Map<MachineId, MonotonicTime> suspicions = new HashMap<>();

  public ShardView(ShardId id, ZoneId zone, MonotonicTime now) {
    this.id = id;
    this.zone = zone;
    this.reportedAt = now;
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
  public Duration without(MonotonicTime now) {
    return grant.isPresent() ? Duration.ZERO : now.since(grantedAt);
  }

  /** Fields of its record that this build doesn't know. */
  public void beyond(Optional<UnknownFields> fields) {
    beyond = fields;
  }

  /** Its record as it is to be stored. */
  public JsonNode stored() {
    JsonNode node = ShardRecord.write(zone, machines, lastOwner);
    beyond.ifPresent(fields -> fields.restore(node));
    return node;
  }

  public void grant(Optional<Grant> next, MonotonicTime now) {
    if (!next.equals(grant)) {
      grant = next;
      grantedAt = now;
      heardAt = now;
      heardVersion = 0;
      reported = false;
      lastSequence = 0;
      seenSequence = 0;
      reports.clear();
      suspicions.clear();
      // A new owner is sent the full set, under a higher version.
      confirmedVersion = 0;
      changes.clear();
      dirty = true;
      base = 0;
    }
  }

  /** Whether the report continues what is known; if not, the owner must tell again. */
  public boolean continues(ShardStatus report) {
    return report.getBase() <= lastSequence;
  }

  /** Takes over the report's machines; tells which of them it named. */
  public List<MachineId> reported(ShardStatus report, MonotonicTime now) {
    reported = true;
    lastSequence = report.getSequence();
    reportedAt = now;
    if (report.getBase() == 0) {
      reports.clear();
    }
    List<MachineId> named = new ArrayList<>();
    for (MachineStatus machine : report.getMachines()) {
      MachineId key = new MachineId(machine.getMachine());
      reports.put(key, machine);
      named.add(key);
    }
    return named;
  }

  /** The version up to which the owner knows the set of this term. */
  public void confirmed(long version, MonotonicTime now) {
    if (version > confirmedVersion) {
      confirmedVersion = version;
      waitingSince = now;
      changes.confirmed(version);
    }
  }

  public boolean hasReported() {
    return reported;
  }

  public long lastSequence() {
    return lastSequence;
  }

  /** Whether the owner should hear up to where it is known; asked once for each report. */
  public boolean sequenceToConfirm() {
    boolean news = seenSequence != lastSequence;
    seenSequence = lastSequence;
    return news;
  }

  public Optional<MachineStatus> reportOf(MachineId machine) {
    return Optional.ofNullable(reports.get(machine));
  }

  /** A stored assignment that the owner is to hear of, or hear of again. */
  public void tell(TaskAssignment assignment) {
    told.put(assignment.task(), assignment);
    changes.changed(assignment.task(), sentVersion + 1);
    dirty = true;
  }

  public void untell(TaskAssignment assignment) {
    if (told.remove(assignment.task(), assignment)) {
      changes.changed(assignment.task(), sentVersion + 1);
      dirty = true;
    }
  }

  public Collection<TaskAssignment> told() {
    return told.values();
  }

  public Optional<TaskAssignment> told(TaskId task) {
    return Optional.ofNullable(told.get(task));
  }

  public void changed() {
    dirty = true;
  }

  /** Whether something is to be sent that was not sent yet. */
  public boolean dirty() {
    return dirty;
  }

  /** Whether the owner has long not confirmed what was sent: it is sent from there again. */
  public boolean lost(MonotonicTime now, Duration patience) {
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
    return version == 0 ? List.copyOf(told.keySet()) : changes.since(version);
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
  public Duration unheard(MonotonicTime now) {
    boolean all = !dirty && confirmedVersion >= sentVersion;
    if (all || confirmedVersion > heardVersion || grant.isEmpty()) {
      heardAt = now;
      heardVersion = confirmedVersion;
    }
    return now.since(heardAt);
  }

  /** A machine reported elsewhere, since its owner does not answer it. */
  public void knocked(MachineId machine, MonotonicTime now) {
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
    return reportOf(machine)
        .filter(report -> report.getLiveness().equals(OwnedMachine.Silence.HEARD.wireName()))
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
  public Optional<NodeId> granting() {
    return granting;
  }

  void granting(Optional<NodeId> next) {
    granting = next;
  }

  public MonotonicTime reportedAt() {
    return reportedAt;
  }
}
