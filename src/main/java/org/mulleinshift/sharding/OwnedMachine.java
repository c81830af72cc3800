package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
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

/** The state of a machine of an owned shard, as tracked by the shard's owner. */
public final class OwnedMachine {
  /** A worker accepts no response later than 4 s after its heartbeat; 0.5 s allows for drift. */
  private static final Duration RESPONSE_WAIT = Duration.ofMillis(4500);

  /** Reported in place of the phase: tasks of unreadable jobs run on it and are left alone. */
  private static final String OCCUPIED = "OCCUPIED";

  private final MachineId id;
  private final MachineToken token;
  private final ImageCache imageCache = new ImageCache();
  private final CommandsInFlight commands = new CommandsInFlight();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private MachineRecord record;
  private MachinePhase phase = MachinePhase.UNSEEN;
  private MachineLiveness liveness = MachineLiveness.ALIVE;
  private HeartbeatVersion lastHeartbeatVersion = HeartbeatVersion.NONE;
  private MonotonicTime newestHeartbeatAt;
  private String address = "";
  private Optional<MonotonicTime> lastResponseAt = Optional.empty();
  private Optional<MonotonicTime> heartbeatReceivedAt = Optional.empty();
  private Optional<Duration> interruptionNotice = Optional.empty();
  private List<WorkerHeartbeat.ReportedTask> unassignedTasks = new ArrayList<>();
  private boolean hasUnreadableTasks;
  private Resources usedResources = Resources.ZERO;

  /** Number of changes to the tasks bound to the machine. */
  private long bindingChanges;

  private List<WorkerHeartbeat.ReportedTask> appliedEntries = List.of();
  private long appliedBindingChanges = -1;

  /**
   * Creates a machine that has sent no heartbeat under this grant.
   *
   * @param record the machine's stored record
   * @param grant the grant under which this node owns the machine's shard
   */
  OwnedMachine(MachineId id, MachineRecord record, Revision grant, MonotonicTime now) {
    this.newestHeartbeatAt = now;
    this.id = id;
    this.record = record;
    this.token = new MachineToken(grant);
  }

  /** Sets the phase; no other code changes it. */
  void transitionTo(MachinePhase next) {
    phase = next;
  }

  /** Raises the token, so that the worker drops commands under the old one that arrive late. */
  void raiseToken(MonotonicTime now) {
    token.raise(now);
  }

  /** Raises the token in the response to a heartbeat, see {@link MachineToken#raiseInResponse}. */
  void raiseTokenInResponse() {
    token.raiseInResponse();
  }

  /** Adopts a higher token of the same grant that the worker reports. */
  void adoptToken(FencingToken reported) {
    token.adopt(reported);
  }

  /** Since when a raised token has been unacknowledged; empty if there is none. */
  Optional<MonotonicTime> tokenUnacknowledgedSince() {
    return token.unacknowledgedSince();
  }

  /** Whether the worker that sent the heartbeat has received the current token. */
  boolean isTokenAcknowledgedBy(WorkerHeartbeat heartbeat) {
    return token.isAcknowledgedBy(heartbeat.highestToken());
  }

  /**
   * Whether a worker that has received the token drops every message that may start the attempt.
   */
  boolean isFenced(TaskAttempt attempt, FencingToken received) {
    return commands.isFenced(attempt, received, token.value());
  }

  /**
   * Whether the heartbeat is certainly a delayed copy: one at least as new was received so long ago
   * that the worker no longer waits for a response to this one. A delayed copy does not show that
   * the worker is alive, and a response to it renews no lease.
   */
  boolean isDelayedDuplicate(WorkerHeartbeat heartbeat, MonotonicTime now) {
    return !heartbeat.version().isAfter(lastHeartbeatVersion)
        && now.since(newestHeartbeatAt).compareTo(RESPONSE_WAIT) > 0;
  }

  /** Records what a newer heartbeat reports about the machine itself, not about its tasks. */
  void onHeartbeat(WorkerHeartbeat heartbeat, MonotonicTime now) {
    lastHeartbeatVersion = heartbeat.version();
    newestHeartbeatAt = now;
    address = heartbeat.address();
    interruptionNotice = heartbeat.interruptionNotice();
    token.onReported(heartbeat.highestToken());
  }

  /**
   * Whether a worker that does not list a task, and has received the token, can't start it any more
   * either. A task that this owner has not started was started under an earlier grant.
   */
  boolean isCertainlyAbsent(OwnedTask task, FencingToken received) {
    return commands
        .startTokens()
        .find(new TaskAttempt(task.id(), task.attempt()))
        .map(started -> started.compareTo(received) < 0)
        .orElse(token.first().compareTo(received) <= 0);
  }

  /** The attempts that the heartbeat lists, and those that may be yet to start. */
  Set<TaskAttempt> attemptsAccountedFor(WorkerHeartbeat heartbeat) {
    Set<TaskAttempt> attempts = new HashSet<>();
    heartbeat.tasks().forEach(entry -> attempts.add(TaskAttempt.of(entry)));
    for (OwnedTask task : tasks.values()) {
      if (task.phase() == TaskPhase.STARTING) {
        attempts.add(new TaskAttempt(task.id(), task.attempt()));
      }
    }
    return attempts;
  }

  /** Whether a worker that had received a token of the grant reports that it knows none. */
  boolean hasLostToken(WorkerHeartbeat heartbeat) {
    return phase == MachinePhase.CONFIRMED && heartbeat.highestToken().compareTo(token.first()) < 0;
  }

  /** Records that all tasks in the heartbeat have been applied. */
  void markApplied(WorkerHeartbeat heartbeat) {
    appliedEntries = heartbeat.tasks();
    appliedBindingChanges = bindingChanges;
  }

  /**
   * Whether the heartbeat reports the same as the last one that was applied, from a machine with
   * nothing left to reconcile. It then shows only that the machine is alive. Most heartbeats are
   * like this.
   */
  boolean isUnchangedBy(WorkerHeartbeat heartbeat) {
    return isSettled()
        && heartbeat.version().epoch() == lastHeartbeatVersion.epoch()
        && heartbeat.interruptionNotice().isPresent() == interruptionNotice.isPresent()
        && isTokenAcknowledgedBy(heartbeat)
        && heartbeat.tasks().size() == tasks.size()
        && heartbeat.tasks().equals(appliedEntries);
  }

  private boolean isSettled() {
    return bindingChanges == appliedBindingChanges
        && phase == MachinePhase.CONFIRMED
        && tokenUnacknowledgedSince().isEmpty()
        && unassignedTasks.isEmpty();
  }

  /** Records the arrival of a heartbeat, whether or not this node may respond to it. */
  void markHeartbeatReceived(HeartbeatVersion version, MonotonicTime now) {
    heartbeatReceivedAt = Optional.of(now);
    commands.onHeartbeat(version);
  }

  /** When the last heartbeat was received; empty if none was. */
  Optional<MonotonicTime> heartbeatReceivedAt() {
    return heartbeatReceivedAt;
  }

  /** Records the response to a heartbeat, which renews the worker's lease. */
  void markResponded(MonotonicTime now) {
    lastResponseAt = Optional.of(now);
  }

  /** When a heartbeat was last responded to; empty if none was. */
  Optional<MonotonicTime> lastResponseAt() {
    return lastResponseAt;
  }

  /**
   * Records that a task runs from the image, which is therefore in the machine's cache.
   *
   * @return whether the set of images changed
   */
  boolean recordImageUse(String image, double sizeGb, double cacheGb) {
    return imageCache.recordUse(image, sizeGb, cacheGb);
  }

  /** The images estimated to be in the machine's cache, least recently used first. */
  Set<String> images() {
    return imageCache.images();
  }

  /** Replaces the machine's record by a newer stored one. */
  void updateRecord(MachineRecord next) {
    record = next;
  }

  /** Adds a task that is, or may be, on the machine. */
  void bind(OwnedTask task) {
    bindingChanges++;
    if (tasks.put(task.id(), task) == null) {
      usedResources = usedResources.plus(task.request().perTask());
    }
  }

  /** Removes a task that is no longer on the machine. */
  void unbind(OwnedTask task) {
    bindingChanges++;
    if (tasks.remove(task.id(), task)) {
      usedResources =
          tasks.isEmpty() ? Resources.ZERO : usedResources.minus(task.request().perTask());
    }
  }

  /** A copy of the list of tasks that are, or may be, on the machine. */
  List<OwnedTask> tasks() {
    return new ArrayList<>(tasks.values());
  }

  /** The resources that those tasks use. */
  Resources usedResources() {
    return usedResources;
  }

  /**
   * Sets the liveness.
   *
   * @return whether it changed
   */
  boolean updateLiveness(MachineLiveness next) {
    boolean changed = liveness != next;
    liveness = next;
    return changed;
  }

  /** The liveness as last set. */
  MachineLiveness liveness() {
    return liveness;
  }

  MachineId id() {
    return id;
  }

  /** The commands to its worker that are yet to be sent, or may still be on their way. */
  CommandsInFlight commands() {
    return commands;
  }

  MachineRecord record() {
    return record;
  }

  MachinePhase phase() {
    return phase;
  }

  FencingToken token() {
    return token.value();
  }

  HeartbeatVersion lastHeartbeatVersion() {
    return lastHeartbeatVersion;
  }

  /** The address at which its worker accepts commands; empty before the first heartbeat. */
  String address() {
    return address;
  }

  /** Whether the cloud has announced that it will take the machine away. */
  boolean hasInterruptionNotice() {
    return interruptionNotice.isPresent();
  }

  /** The attempts in its last heartbeat that are not assigned to the shard. */
  List<WorkerHeartbeat.ReportedTask> unassignedTasks() {
    return unassignedTasks;
  }

  /** Replaces the list of attempts on it that are not assigned to the shard. */
  void setUnassignedTasks(List<WorkerHeartbeat.ReportedTask> reported) {
    unassignedTasks = reported;
  }

  /**
   * Updates whether unassigned tasks of unreadable jobs run on it; it is then given no other tasks.
   *
   * @return whether that changed
   */
  boolean updateUnreadableTasks(Set<JobId> unreadableJobs) {
    boolean before = hasUnreadableTasks;
    hasUnreadableTasks =
        unassignedTasks.stream()
            .filter(entry -> entry.state() != WorkerHeartbeat.TaskState.EXITED)
            .anyMatch(entry -> unreadableJobs.contains(entry.task().job()));
    return before != hasUnreadableTasks;
  }

  /** Whether tasks of unreadable jobs run on the machine, as its owner reported. */
  public static boolean hasUnreadableTasks(MachineStatus status) {
    return status.getPhase().equals(OCCUPIED);
  }

  /** The phase that is reported to the leader. */
  String reportedPhase() {
    return hasUnreadableTasks ? OCCUPIED : phase().wireName();
  }
}
