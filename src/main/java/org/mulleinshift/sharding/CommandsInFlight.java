package org.mulleinshift.sharding;

import java.util.List;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.HeartbeatVersion;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;

/**
 * The commands to one worker that are yet to be sent, may still be on their way, or may arrive
 * again: in a direct message or in the response to a heartbeat.
 */
final class CommandsInFlight {
  private final StartsInResponse startsInResponse = new StartsInResponse();
  private final StartTokens startTokens = new StartTokens();
  private final ForgottenAttempts forgottenAttempts = new ForgottenAttempts();
  private boolean pending;
  private boolean directMessageInFlight;

  /** Records that there may be commands that have not been sent. */
  void markPending() {
    pending = true;
  }

  /** Records that all commands known so far are being sent. */
  void clearPending() {
    pending = false;
  }

  /** Whether there may be commands that have not been sent. */
  boolean isPending() {
    return pending;
  }

  /** Records that a direct message is sent; the next one waits until this has ended. */
  void onDirectMessageSent(List<WorkerCommand> commands, FencingToken token) {
    directMessageInFlight = true;
    startTokens.onCommands(commands, token);
    forgottenAttempts.onCommands(commands);
  }

  /** Records that the direct message was responded to, or that its deadline has passed. */
  void onDirectMessageEnded() {
    directMessageInFlight = false;
  }

  /** Whether a direct message was sent whose response or deadline is still awaited. */
  boolean isDirectMessageInFlight() {
    return directMessageInFlight;
  }

  /** Records the arrival of a heartbeat of the worker. */
  void onHeartbeat(HeartbeatVersion version) {
    startsInResponse.onHeartbeat(version);
  }

  /**
   * Records a report, in a heartbeat or in the response to a direct message, that is newer than all
   * before; returns the attempts that it lists although the worker had forgotten them.
   */
  List<TaskAttempt> onNewerReport(WorkerHeartbeat report) {
    return forgottenAttempts.onHeartbeat(report);
  }

  /** Records the commands in the response to a heartbeat: all commands known so far. */
  void onResponse(List<WorkerCommand> commands, FencingToken token) {
    pending = false;
    startTokens.onCommands(commands, token);
    startsInResponse.onResponse(commands);
    forgottenAttempts.onCommands(commands);
  }

  /** See {@link StartTokens#isFenced}. */
  boolean isFenced(TaskAttempt attempt, FencingToken received, FencingToken current) {
    return startTokens.isFenced(attempt, received, current);
  }

  /** The starts of attempts that the worker may know or be told to start again. */
  StartTokens startTokens() {
    return startTokens;
  }

  /**
   * Whether a message that starts the attempt is yet to be answered. Others may arrive again: see
   * {@link #isFenced}.
   */
  boolean mayStart(TaskId task, Attempt attempt) {
    return directMessageInFlight || startsInResponse.contains(task, attempt);
  }
}
