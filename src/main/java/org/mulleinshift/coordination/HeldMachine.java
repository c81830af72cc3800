package org.mulleinshift.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.WorkerMoment;
import org.mulleinshift.protocol.WorkerReport;
import org.mulleinshift.transport.SteadyTime;

/** A machine of a held block. */
final class HeldMachine {
  /** Low bits of a token, for raising it on one machine without a new grant. */
  static final int BUMP_BITS = 20;

  private static final int REMEMBERED_IMAGES = 6;

  private final MachineId id;
  private MachineRecord record;
  private MachinePhase phase = MachinePhase.UNSEEN;
  private FencingToken token;
  private WorkerMoment moment = WorkerMoment.NEVER;
  private String address = "";
  private Optional<SteadyTime> answeredAt = Optional.empty();
  private Optional<Duration> recall = Optional.empty();
  private SteadyTime recallSeenAt;
  private List<WorkerReport.Entry> strays = new ArrayList<>();
  private final Set<String> images = new LinkedHashSet<>();
  private boolean directInFlight;
  private boolean ordersWaiting;

  HeldMachine(MachineId id, MachineRecord record, Revision grant) {
    this.id = id;
    this.record = record;
    this.token = firstToken(grant);
  }

  /** Rises with every grant, since the store's revisions do. */
  static FencingToken firstToken(Revision grant) {
    return new FencingToken(grant.value() << BUMP_BITS);
  }

  static boolean belongsTo(FencingToken token, Revision grant) {
    return token.value() >> BUMP_BITS == grant.value();
  }

  /** The only place where the phase changes. */
  void moveTo(MachinePhase next) {
    phase = next;
  }

  /** From now on whatever was sent under the old token is dropped by the worker. */
  void raiseToken() {
    token = new FencingToken(token.value() + 1);
  }

  void adoptToken(FencingToken seen) {
    if (seen.compareTo(token) > 0) {
      token = seen;
    }
  }

  void heard(WorkerReport report, SteadyTime now) {
    moment = report.moment();
    address = report.address();
    recall = report.recall();
    recallSeenAt = now;
  }

  void answered(SteadyTime now) {
    answeredAt = Optional.of(now);
  }

  void addImage(String image) {
    images.remove(image);
    images.add(image);
    if (images.size() > REMEMBERED_IMAGES) {
      images.remove(images.iterator().next());
    }
  }

  void update(MachineRecord next) {
    record = next;
  }

  MachineId id() {
    return id;
  }

  MachineRecord record() {
    return record;
  }

  MachinePhase phase() {
    return phase;
  }

  FencingToken token() {
    return token;
  }

  WorkerMoment moment() {
    return moment;
  }

  String address() {
    return address;
  }

  Optional<SteadyTime> answeredAt() {
    return answeredAt;
  }

  long recallMillis(SteadyTime now) {
    return recall
        .map(left -> Math.max(0, left.minus(now.since(recallSeenAt)).toMillis()))
        .orElse(-1L);
  }

  List<WorkerReport.Entry> strays() {
    return strays;
  }

  void strays(List<WorkerReport.Entry> found) {
    strays = found;
  }

  Set<String> images() {
    return images;
  }

  boolean directInFlight() {
    return directInFlight;
  }

  void directInFlight(boolean value) {
    directInFlight = value;
  }

  boolean ordersWaiting() {
    return ordersWaiting;
  }

  void ordersWaiting(boolean value) {
    ordersWaiting = value;
  }
}
