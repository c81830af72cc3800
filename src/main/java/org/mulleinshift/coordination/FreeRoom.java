package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.bookkeeping.Delegation;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.peer.MachineReport;

/** The room that a cycle gives out, and the tasks that wait at holders for more of it. */
final class FreeRoom {
  /** Tasks that wait at a holder for room. */
  record Ahead(BlockId block, PlacementNeed need, int count) {}

  private final Leader leader;
  private final Catalog catalog;
  private final List<Ahead> ahead = new ArrayList<>();

  FreeRoom(Leader leader, Catalog catalog) {
    this.leader = leader;
    this.catalog = catalog;
  }

  /** What was delegated and found no room when the rooms were last asked for. */
  List<Ahead> ahead() {
    return ahead;
  }

  /** Free room as the holders report it, less what is delegated and not yet placed. */
  List<Room> rooms() {
    List<Room> rooms = new ArrayList<>();
    ahead.clear();
    for (LeaderBlock block : leader.blocks().values()) {
      List<Room> found = roomsOf(block);
      Map<JobId, Integer> unplaced = new LinkedHashMap<>();
      for (Delegation delegation : leader.occupancy().unplaced(block.id())) {
        unplaced.merge(delegation.task().job(), 1, Integer::sum);
      }
      unplaced.forEach(
          (job, count) -> {
            PlacementNeed need = PlacementNeed.of(leader.jobs().get(job).spec());
            int left = count - Placer.fill(need, count, found);
            if (left > 0) {
              ahead.add(new Ahead(block.id(), need, left));
            }
          });
      rooms.addAll(found);
    }
    return rooms;
  }

  List<Room> roomsOf(LeaderBlock block) {
    List<Room> found = new ArrayList<>();
    if (!block.hasReported()) {
      return found;
    }
    for (Map.Entry<MachineId, MachineRecord> entry : block.machines().entrySet()) {
      MachineId id = entry.getKey();
      MachineRecord record = entry.getValue();
      MachineType type = catalog.type(record.type()).orElse(null);
      MachineReport report = block.reportOf(id).orElse(null);
      if (type != null && report != null && record.up() && usable(id, report)) {
        found.add(
            Room.on(
                block,
                id,
                record,
                type,
                type.size().minus(leader.occupancy().used(id)),
                images(id, report)));
      }
    }
    return found;
  }

  /** What the machine has, and what its tasks fetch: like tasks then share the fetch. */
  private Set<String> images(MachineId machine, MachineReport report) {
    Set<String> images = new HashSet<>(report.getImages());
    for (Delegation delegation : leader.occupancy().on(machine)) {
      Job job = leader.jobs().get(delegation.task().job());
      if (job != null) {
        images.add(job.spec().image());
      }
    }
    return images;
  }

  private boolean usable(MachineId machine, MachineReport report) {
    return report.getPhase().equals(MachinePhase.CONFIRMED.name())
        && !report.getRecalled()
        && report.getSilence().equals(HeldMachine.Silence.HEARD.name())
        && !leader.closed(machine);
  }
}
