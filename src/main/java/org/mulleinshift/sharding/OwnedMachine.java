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
  static final int LOCAL_TOKEN_BITS = 20;

  /** A worker takes no answer later than 4 s after its report; and more for drift. */
  private static final Duration ANSWERS_AWAITED = Duration.ofMillis(4500);

  private final MachineId id;
  private MachineRecord record;
  private MachinePhase phase = MachinePhase.UNSEEN;
  private FencingToken token;
  private HeartbeatVersion lastHeartbeat = HeartbeatVersion.NEVER;
  private MonotonicTime lastHeartbeatAt;
  private String address = "";
  private Optional<MonotonicTime> answeredAt = Optional.empty();
  private Optional<MonotonicTime> reachedAt = Optional.empty();
  private Optional<MonotonicTime> awaitingEchoSince = Optional.empty();
  private Optional<Duration> interruptionNotice = Optional.empty();
  private static final String OCCUPIED = "OCCUPIED";

  private boolean occupied;
  private List<WorkerHeartbeat.Entry> unassignedTasks = new ArrayList<>();
  private final Map<String, Double> images = new LinkedHashMap<>();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private Resources used = Resources.ZERO;
  private List<WorkerHeartbeat.Entry> markApplied = List.of();
  private long bindings;
  private long appliedBindings = -1;
  private Liveness liveness = Liveness.ALIVE;
  private boolean directCommandInFlight;
  private boolean commandsPending;

  /** For how long a machine has not been heard, as far as it matters to the leader. */
  public enum Liveness {
    ALIVE("HEARD"),
    /** Reports are missing, or it may not hear this node: it takes nothing new. */
    SUSPECTED("QUIET"),
    /** For longer than its lease. */
    LOST("GONE");

    private final String wireName;

    Liveness(String wireName) {
      this.wireName = wireName;
    }

    /** How peer frames name it. */
    public String wireName() {
      return wireName;
    }
  }

  OwnedMachine(MachineId id, MachineRecord record, Revision grant, MonotonicTime now) {
    this.lastHeartbeatAt = now;
    this.id = id;
    this.record = record;
    this.token = firstToken(grant);
  }

  /** Rises with every grant, since the store's revisions do. */
  static FencingToken firstToken(Revision grant) {
    return new FencingToken(grant.value() << LOCAL_TOKEN_BITS);
  }

  static boolean belongsTo(FencingToken token, Revision grant) {
    return token.value() >> LOCAL_TOKEN_BITS == grant.value();
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
    awaitingEchoSince = Optional.of(awaitingEchoSince.orElse(now));
  }

  /** Since when it has shown no sign that it hears this node; empty if it has. */
  Optional<MonotonicTime> awaitingEchoSince() {
    return awaitingEchoSince;
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
  boolean isDelayedDuplicate(WorkerHeartbeat report, MonotonicTime now) {
    return !report.version().isAfter(lastHeartbeat)
        && now.since(lastHeartbeatAt).compareTo(ANSWERS_AWAITED) > 0;
  }

  void onHeartbeat(WorkerHeartbeat report, MonotonicTime now) {
    lastHeartbeat = report.version();
    lastHeartbeatAt = now;
    address = report.address();
    interruptionNotice = report.interruptionNotice();
    if (report.highestToken().compareTo(token) >= 0) {
      awaitingEchoSince = Optional.empty();
    }
  }

  /** All that the report says was taken over. */
  void markApplied(WorkerHeartbeat report) {
    markApplied = report.tasks();
    appliedBindings = bindings;
  }

  /**
   * Whether the report says what the last one did, of a machine that is as it should be: then
   * nothing follows from it but that the machine is there. Most reports are such.
   */
  boolean isUnchanged(WorkerHeartbeat report) {
    return bindings == appliedBindings
        && phase == MachinePhase.CONFIRMED
        && awaitingEchoSince.isEmpty()
        && unassignedTasks.isEmpty()
        && report.version().epoch() == lastHeartbeat.epoch()
        && report.interruptionNotice().isPresent() == interruptionNotice.isPresent()
        && report.highestToken().compareTo(token) >= 0
        && report.tasks().size() == tasks.size()
        && report.tasks().equals(markApplied);
  }

  /** A report came, whether or not this node may answer it. */
  void markReached(MonotonicTime now) {
    reachedAt = Optional.of(now);
  }

  Optional<MonotonicTime> reachedAt() {
    return reachedAt;
  }

  void markAnswered(MonotonicTime now) {
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
    if (tasks.put(task.task(), task) == null) {
      used = used.plus(task.request().perTask());
    }
  }

  void release(OwnedTask task) {
    bindings++;
    if (tasks.remove(task.task(), task)) {
      used = tasks.isEmpty() ? Resources.ZERO : used.minus(task.request().perTask());
    }
  }

  /** The tasks that are, or possibly are, on it. */
  List<OwnedTask> tasks() {
    return new ArrayList<>(tasks.values());
  }

  /** What those tasks take of it. */
  Resources used() {
    return used;
  }

  /** Notes how long it has been silent; tells whether that is news. */
  boolean liveness(Liveness now) {
    boolean news = liveness != now;
    liveness = now;
    return news;
  }

  Liveness liveness() {
    return liveness;
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

  HeartbeatVersion lastHeartbeat() {
    return lastHeartbeat;
  }

  String address() {
    return address;
  }

  Optional<MonotonicTime> answeredAt() {
    return answeredAt;
  }

  /** The cloud takes it away soon. */
  boolean interrupted() {
    return interruptionNotice.isPresent();
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
  boolean updateOccupied(Set<JobId> leftAlone) {
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
  String reportedPhase() {
    return occupied ? OCCUPIED : phase().wireName();
  }

  Set<String> images() {
    return images.keySet();
  }

  boolean directCommandInFlight() {
    return directCommandInFlight;
  }

  void directCommandInFlight(boolean value) {
    directCommandInFlight = value;
  }

  boolean commandsPending() {
    return commandsPending;
  }

  void commandsPending(boolean value) {
    commandsPending = value;
  }
}
