package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.HeartbeatVersion;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.transport.MonotonicTime;

/** A machine of a held shard. */
public final class OwnedMachine {
  /** Low bits of a token, for raising it on one machine without a new grant. */
  static final int BUMP_BITS = 20;

  /** A worker takes no answer later than 4 s after its report; and more for drift. */
  private static final Duration ANSWERS_AWAITED = Duration.ofMillis(4500);

  private final MachineId id;
  private MachineRecord record;
  private MachinePhase phase = MachinePhase.UNSEEN;
  private FencingToken token;
  private HeartbeatVersion moment = HeartbeatVersion.NEVER;
  private MonotonicTime momentAt;
  private String address = "";
  private Optional<MonotonicTime> answeredAt = Optional.empty();
  private Optional<MonotonicTime> reachedAt = Optional.empty();
  private Optional<MonotonicTime> echoAwaited = Optional.empty();
  private Optional<Duration> recall = Optional.empty();
  private static final String OCCUPIED = "OCCUPIED";

  private boolean occupied;
  private List<WorkerHeartbeat.Entry> unassignedTasks = new ArrayList<>();
  private final Map<String, Double> images = new LinkedHashMap<>();
  private final Map<TaskId, OwnedTask> bound = new LinkedHashMap<>();
  private Resources used = Resources.ZERO;
  private List<WorkerHeartbeat.Entry> absorbed = List.of();
  private long bindings;
  private long absorbedBindings = -1;
  private Silence silence = Silence.HEARD;
  private boolean directInFlight;
  private boolean ordersWaiting;

  /** For how long a machine has not been heard, as far as it matters to the leader. */
  public enum Silence {
    HEARD("HEARD"),
    /** Reports are missing, or it may not hear this node: it takes nothing new. */
    QUIET("QUIET"),
    /** For longer than its lease. */
    GONE("GONE");

    private final String wireName;

    Silence(String wireName) {
      this.wireName = wireName;
    }

    /** How peer frames name it. */
    public String wireName() {
      return wireName;
    }
  }

  OwnedMachine(MachineId id, MachineRecord record, Revision grant, MonotonicTime now) {
    this.momentAt = now;
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
  void transitionTo(MachinePhase next) {
    phase = next;
  }

  /**
   * Orders were not answered: from now on whatever was sent under the old token is dropped by a
   * worker that hears the new one. Until it shows that it does, nobody knows whether it hears
   * anything, whatever it says.
   */
  void raiseToken(MonotonicTime now) {
    token = new FencingToken(token.value() + 1);
    echoAwaited = Optional.of(echoAwaited.orElse(now));
  }

  /** Since when it has shown no sign that it hears this node; empty if it has. */
  Optional<MonotonicTime> deafSince() {
    return echoAwaited;
  }

  void adoptToken(FencingToken seen) {
    if (seen.compareTo(token) > 0) {
      token = seen;
    }
  }

  /**
   * Whether this is surely a copy that came late: what was sent after it was heard so long ago that
   * its worker waits for no answer to it any more. Such a one shows no sign of life, and an answer
   * to it renews nothing.
   */
  boolean surelyCopy(WorkerHeartbeat report, MonotonicTime now) {
    return !report.moment().isAfter(moment) && now.since(momentAt).compareTo(ANSWERS_AWAITED) > 0;
  }

  void heard(WorkerHeartbeat report, MonotonicTime now) {
    moment = report.moment();
    momentAt = now;
    address = report.address();
    recall = report.recall();
    if (report.highestToken().compareTo(token) >= 0) {
      echoAwaited = Optional.empty();
    }
  }

  /** All that the report says was taken over. */
  void absorbed(WorkerHeartbeat report) {
    absorbed = report.tasks();
    absorbedBindings = bindings;
  }

  /**
   * Whether the report says what the last one did, of a machine that is as it should be: then
   * nothing follows from it but that the machine is there. Most reports are such.
   */
  boolean repeats(WorkerHeartbeat report) {
    return bindings == absorbedBindings
        && phase == MachinePhase.CONFIRMED
        && echoAwaited.isEmpty()
        && unassignedTasks.isEmpty()
        && report.moment().session() == moment.session()
        && report.recall().isPresent() == recall.isPresent()
        && report.highestToken().compareTo(token) >= 0
        && report.tasks().size() == bound.size()
        && report.tasks().equals(absorbed);
  }

  /** A report came, whether or not this node may answer it. */
  void reached(MonotonicTime now) {
    reachedAt = Optional.of(now);
  }

  Optional<MonotonicTime> reachedAt() {
    return reachedAt;
  }

  void answered(MonotonicTime now) {
    answeredAt = Optional.of(now);
  }

  /**
   * A task runs from the image, so the machine has it; those used longest ago no longer fit. False
   * if it was known already.
   */
  boolean addImage(String image, double gb, double cacheGb) {
    boolean news = images.remove(image) == null;
    images.put(image, gb);
    double total = images.values().stream().mapToDouble(Double::doubleValue).sum();
    Iterator<Double> oldest = images.values().iterator();
    while (images.size() > 1 && total > cacheGb) {
      total -= oldest.next();
      oldest.remove();
      news = true;
    }
    return news;
  }

  void update(MachineRecord next) {
    record = next;
  }

  void bind(OwnedTask task) {
    bindings++;
    if (bound.put(task.task(), task) == null) {
      used = used.plus(task.need().perTask());
    }
  }

  void release(OwnedTask task) {
    bindings++;
    if (bound.remove(task.task(), task)) {
      used = bound.isEmpty() ? Resources.ZERO : used.minus(task.need().perTask());
    }
  }

  /** The tasks that are, or possibly are, on it. */
  List<OwnedTask> tasks() {
    return new ArrayList<>(bound.values());
  }

  /** What those tasks take of it. */
  Resources used() {
    return used;
  }

  /** Notes how long it has been silent; tells whether that is news. */
  boolean silence(Silence now) {
    boolean news = silence != now;
    silence = now;
    return news;
  }

  Silence silence() {
    return silence;
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

  HeartbeatVersion moment() {
    return moment;
  }

  String address() {
    return address;
  }

  Optional<MonotonicTime> answeredAt() {
    return answeredAt;
  }

  /** The cloud takes it away soon. */
  boolean interrupted() {
    return recall.isPresent();
  }

  List<WorkerHeartbeat.Entry> unassignedTasks() {
    return unassignedTasks;
  }

  void unassignedTasks(List<WorkerHeartbeat.Entry> found) {
    unassignedTasks = found;
  }

  /**
   * Whether tasks run on it that are not this build's to judge; then it takes no others. Tells
   * whether that is new.
   */
  boolean occupiedBy(Set<JobId> leftAlone) {
    boolean before = occupied;
    occupied =
        unassignedTasks.stream()
            .filter(entry -> entry.state() != WorkerHeartbeat.State.EXITED)
            .anyMatch(entry -> leftAlone.contains(entry.task().job()));
    return before != occupied;
  }

  /** Whether such tasks run on it, as its owner told. */
  public static boolean occupied(MachineStatus report) {
    return report.getPhase().equals(OCCUPIED);
  }

  /** What the leader hears of the machine's phase. */
  String toldPhase() {
    return occupied ? OCCUPIED : phase().wireName();
  }

  Set<String> images() {
    return images.keySet();
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
