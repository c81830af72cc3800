package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
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

/** A machine of an owned shard, as its owner knows it. */
public final class OwnedMachine {
  /** A worker takes no answer later than 4 s after its heartbeat; and more for drift. */
  private static final Duration RESPONSE_WAIT = Duration.ofMillis(4500);

  /** Reported in place of a phase: tasks run on it that this build must leave alone. */
  private static final String OCCUPIED = "OCCUPIED";

  private final MachineId id;
  private final MachineToken token;
  private final ImageCache imageCache = new ImageCache();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private MachineRecord record;
  private MachinePhase phase = MachinePhase.UNSEEN;
  private MachineLiveness liveness = MachineLiveness.ALIVE;
  private HeartbeatVersion lastHeartbeatVersion = HeartbeatVersion.NEVER;
  private MonotonicTime newestHeartbeatAt;
  private String address = "";
  private Optional<MonotonicTime> lastResponseAt = Optional.empty();
  private Optional<MonotonicTime> heartbeatReceivedAt = Optional.empty();
  private Optional<Duration> interruptionNotice = Optional.empty();
  private List<WorkerHeartbeat.ReportedTask> unassignedTasks = new ArrayList<>();
  private boolean hasUnreadableTasks;
  private Resources usedResources = Resources.ZERO;

  /** Counts changes of the tasks bound to it. */
  private long bindingChanges;

  private List<WorkerHeartbeat.ReportedTask> appliedEntries = List.of();
  private long appliedBindingChanges = -1;
  private boolean directCommandInFlight;
  private boolean commandsPending;

  /**
   * A machine of which nothing was heard under this grant.
   *
   * @param record of the machine, as stored
   * @param grant under which this node owns its shard
   */
  OwnedMachine(MachineId id, MachineRecord record, Revision grant, MonotonicTime now) {
    this.newestHeartbeatAt = now;
    this.id = id;
    this.record = record;
    this.token = new MachineToken(grant);
  }

  /** The only place where the phase changes. */
  void transitionTo(MachinePhase next) {
    phase = next;
  }

  /** Commands under the old token may not have arrived, and must not count any more. */
  void raiseToken(MonotonicTime now) {
    token.raise(now);
  }

  /** The worker knows a higher token of the same grant. */
  void adoptToken(FencingToken reported) {
    token.adopt(reported);
  }

  /** Since when it has shown no sign that it receives from this node; empty if it has. */
  Optional<MonotonicTime> tokenUnacknowledgedSince() {
    return token.unacknowledgedSince();
  }

  /** Whether the worker that sent the heartbeat has received the current token. */
  boolean isTokenAcknowledgedBy(WorkerHeartbeat heartbeat) {
    return token.isAcknowledgedBy(heartbeat.highestToken());
  }

  /**
   * Whether this is surely a copy that came late: what was sent after it was heard so long ago that
   * its worker waits for no answer to it any more. Such a one shows no sign of life, and an answer
   * to it renews nothing.
   */
  boolean isDelayedDuplicate(WorkerHeartbeat heartbeat, MonotonicTime now) {
    return !heartbeat.version().isAfter(lastHeartbeatVersion)
        && now.since(newestHeartbeatAt).compareTo(RESPONSE_WAIT) > 0;
  }

  /** Notes what a newer heartbeat tells of the machine itself. */
  void onHeartbeat(WorkerHeartbeat heartbeat, MonotonicTime now) {
    lastHeartbeatVersion = heartbeat.version();
    newestHeartbeatAt = now;
    address = heartbeat.address();
    interruptionNotice = heartbeat.interruptionNotice();
    token.onReported(heartbeat.highestToken());
  }

  /** All that the heartbeat reports was taken over. */
  void markApplied(WorkerHeartbeat heartbeat) {
    appliedEntries = heartbeat.tasks();
    appliedBindingChanges = bindingChanges;
  }

  /**
   * Whether the heartbeat reports what the last one did, of a machine that is as it should be: then
   * nothing follows from it but that the machine is there. Most heartbeats are such.
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

  /** A heartbeat came, whether or not this node may answer it. */
  void markHeartbeatReceived(MonotonicTime now) {
    heartbeatReceivedAt = Optional.of(now);
  }

  /** When a heartbeat last came. */
  Optional<MonotonicTime> heartbeatReceivedAt() {
    return heartbeatReceivedAt;
  }

  /** A heartbeat is answered, which renews the worker's lease. */
  void markResponded(MonotonicTime now) {
    lastResponseAt = Optional.of(now);
  }

  /** When a heartbeat was last answered. */
  Optional<MonotonicTime> lastResponseAt() {
    return lastResponseAt;
  }

  /**
   * A task runs from the image, so the machine has it.
   *
   * @return whether the set of images changed
   */
  boolean recordImageUse(String image, double sizeGb, double cacheGb) {
    return imageCache.recordUse(image, sizeGb, cacheGb);
  }

  /** The images that its cache holds. */
  Set<String> images() {
    return imageCache.images();
  }

  /** Takes over the machine's record as stored now. */
  void updateRecord(MachineRecord next) {
    record = next;
  }

  /** The task is, or possibly is, on it. */
  void bind(OwnedTask task) {
    bindingChanges++;
    if (tasks.put(task.id(), task) == null) {
      usedResources = usedResources.plus(task.request().perTask());
    }
  }

  /** The task is no longer on it. */
  void unbind(OwnedTask task) {
    bindingChanges++;
    if (tasks.remove(task.id(), task)) {
      usedResources =
          tasks.isEmpty() ? Resources.ZERO : usedResources.minus(task.request().perTask());
    }
  }

  /** The tasks that are, or possibly are, on it. */
  List<OwnedTask> tasks() {
    return new ArrayList<>(tasks.values());
  }

  /** What those tasks use of it. */
  Resources usedResources() {
    return usedResources;
  }

  /**
   * Notes how long it has not been heard.
   *
   * @return whether that differs from before
   */
  boolean updateLiveness(MachineLiveness next) {
    boolean changed = liveness != next;
    liveness = next;
    return changed;
  }

  /** For how long it has not been heard, as last noted. */
  MachineLiveness liveness() {
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
    return token.value();
  }

  HeartbeatVersion lastHeartbeatVersion() {
    return lastHeartbeatVersion;
  }

  /** Where its worker takes direct commands; empty before the first heartbeat. */
  String address() {
    return address;
  }

  /** The cloud takes it away soon. */
  boolean hasInterruptionNotice() {
    return interruptionNotice.isPresent();
  }

  /** What its last heartbeat reports of attempts that are not assigned here. */
  List<WorkerHeartbeat.ReportedTask> unassignedTasks() {
    return unassignedTasks;
  }

  /** Replaces what is known of unassigned attempts on it. */
  void unassignedTasks(List<WorkerHeartbeat.ReportedTask> reported) {
    unassignedTasks = reported;
  }

  /**
   * Notes whether tasks run on it that are not this build's to judge; then it takes no others.
   *
   * @return whether that differs from before
   */
  boolean updateUnreadableTasks(Set<JobId> unreadableJobs) {
    boolean before = hasUnreadableTasks;
    hasUnreadableTasks =
        unassignedTasks.stream()
            .filter(entry -> entry.state() != WorkerHeartbeat.State.EXITED)
            .anyMatch(entry -> unreadableJobs.contains(entry.task().job()));
    return before != hasUnreadableTasks;
  }

  /** Whether such tasks run on it, as its owner reported. */
  public static boolean hasUnreadableTasks(MachineStatus status) {
    return status.getPhase().equals(OCCUPIED);
  }

  /** What is reported to the leader as the machine's phase. */
  String reportedPhase() {
    return hasUnreadableTasks ? OCCUPIED : phase().wireName();
  }

  /** Whether a direct message was sent that is not answered yet and may still arrive in time. */
  boolean directCommandInFlight() {
    return directCommandInFlight;
  }

  /** A direct message is sent; no other one is until it has ended. */
  void markDirectCommandSent() {
    directCommandInFlight = true;
  }

  /** The direct message was answered, or its deadline has passed. */
  void markDirectCommandEnded() {
    directCommandInFlight = false;
  }

  /** Whether there may be commands that were not sent yet. */
  boolean commandsPending() {
    return commandsPending;
  }

  /** There may be commands that were not sent yet. */
  void markCommandsPending() {
    commandsPending = true;
  }

  /** All commands that are known now are being sent. */
  void clearCommandsPending() {
    commandsPending = false;
  }
}
