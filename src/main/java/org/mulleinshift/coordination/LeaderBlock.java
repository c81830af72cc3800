package org.mulleinshift.coordination;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.BlockReport;
import org.mulleinshift.protocol.peer.MachineReport;
import org.mulleinshift.protocol.peer.TaskReport;
import org.mulleinshift.transport.SteadyTime;

/** A block as the leader knows it. */
final class LeaderBlock {
  /** A block's standing grant. */
  record Grant(NodeId holder, Revision revision) {}

  private final BlockId id;
  private final ZoneId zone;
  private final Map<MachineId, MachineRecord> machines = new TreeMap<>();
  private final Map<MachineId, MachineReport> reports = new HashMap<>();
  private Optional<Grant> grant = Optional.empty();
  private Optional<BlockReport> lastReport = Optional.empty();
  private SteadyTime reportedAt;
  private SteadyTime heardAt;
  private long seenVersion;
  private long version = 1;
  private boolean assignmentDirty = true;

  LeaderBlock(BlockId id, ZoneId zone, SteadyTime now) {
    this.id = id;
    this.zone = zone;
    this.reportedAt = now;
    this.heardAt = now;
  }

  void grant(Optional<Grant> next, SteadyTime now) {
    if (!next.equals(grant)) {
      grant = next;
      heardAt = now;
      seenVersion = 0;
      lastReport = Optional.empty();
      reports.clear();
      assignmentDirty = true;
    }
  }

  void reported(BlockReport report, SteadyTime now) {
    lastReport = Optional.of(report);
    reportedAt = now;
    reports.clear();
    for (MachineReport machine : report.getMachines()) {
      reports.put(new MachineId(machine.getMachine()), machine);
    }
  }

  Optional<MachineReport> reportOf(MachineId machine) {
    return Optional.ofNullable(reports.get(machine));
  }

  Iterable<TaskReport> taskReports() {
    return lastReport.<Iterable<TaskReport>>map(BlockReport::getTasks).orElse(java.util.List.of());
  }

  void changed() {
    assignmentDirty = true;
  }

  /** The version to send, a new one if the set has changed. */
  long nextVersion() {
    if (assignmentDirty) {
      assignmentDirty = false;
      version++;
    }
    return version;
  }

  boolean assignmentDirty() {
    return assignmentDirty;
  }

  boolean acknowledged(long term) {
    return !assignmentDirty
        && lastReport
            .filter(r -> r.getSeenTerm() == term && r.getSeenVersion() >= version)
            .isPresent();
  }

  /** For how long the holder has shown no sign of anything new that was sent to it. */
  Duration unheard(long term, SteadyTime now) {
    long seen =
        lastReport.filter(r -> r.getSeenTerm() == term).map(BlockReport::getSeenVersion).orElse(0L);
    if (acknowledged(term) || seen > seenVersion || grant.isEmpty()) {
      heardAt = now;
      seenVersion = seen;
    }
    return now.since(heardAt);
  }

  BlockId id() {
    return id;
  }

  ZoneId zone() {
    return zone;
  }

  Map<MachineId, MachineRecord> machines() {
    return machines;
  }

  Optional<Grant> grant() {
    return grant;
  }

  Optional<BlockReport> lastReport() {
    return lastReport;
  }

  SteadyTime reportedAt() {
    return reportedAt;
  }
}
