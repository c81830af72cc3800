package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The versioned set of assignments that a shard's owner has received or is to receive. A message
 * contains the changes since the previous message or, after a missing acknowledgement, since the
 * acknowledged version; its size depends on the number of changes and not on the size of the shard.
 */
final class PublishedAssignments {
  private final Map<TaskId, TaskAssignment> published = new LinkedHashMap<>();
  private final ChangeLog<TaskId> changes = new ChangeLog<>();
  private long sentVersion;
  private long acknowledgedVersion;

  /** The version that the changes in the next message apply to. */
  private long baseVersion;

  private boolean dirty = true;
  private MonotonicTime awaitingAckSince;

  /** When the owner was last seen to have acknowledged a new version, or all that was sent. */
  private MonotonicTime lastAckProgressAt;

  /** The acknowledged version at that time. */
  private long lastAckProgressVersion;

  /** Creates an empty set. */
  PublishedAssignments(MonotonicTime now) {
    this.awaitingAckSince = now;
    this.lastAckProgressAt = now;
  }

  /** Has the full set sent to a new owner, under a higher version. */
  void resetForNewOwner(MonotonicTime now) {
    lastAckProgressAt = now;
    lastAckProgressVersion = 0;
    acknowledgedVersion = 0;
    changes.clear();
    dirty = true;
    baseVersion = 0;
  }

  /** Has a stored assignment sent to the owner, also if it was sent before. */
  void publish(TaskAssignment assignment) {
    published.put(assignment.task(), assignment);
    markChanged(assignment.task());
  }

  /** Removes an assignment; does nothing if another assignment of the task has replaced it. */
  void retract(TaskAssignment assignment) {
    if (published.remove(assignment.task(), assignment)) {
      markChanged(assignment.task());
    }
  }

  private void markChanged(TaskId task) {
    changes.recordChange(task, sentVersion + 1);
    dirty = true;
  }

  Collection<TaskAssignment> all() {
    return published.values();
  }

  Optional<TaskAssignment> find(TaskId task) {
    return Optional.ofNullable(published.get(task));
  }

  /** Has a message sent, since something else that it contains has changed. */
  void markDirty() {
    dirty = true;
  }

  /** Whether there are changes that have not been sent. */
  boolean hasUnsentChanges() {
    return dirty;
  }

  /**
   * If an acknowledgement is overdue, sets the base of the next message back to the acknowledged
   * version, so that it repeats all changes since.
   *
   * @param resendAfter how long to wait for an acknowledgement
   * @return whether a resend is due
   */
  boolean startResendIfDue(MonotonicTime now, Duration resendAfter) {
    boolean due =
        acknowledgedVersion < sentVersion
            && now.since(awaitingAckSince).compareTo(resendAfter) >= 0;
    if (due) {
      baseVersion = acknowledgedVersion;
      awaitingAckSince = now;
    }
    return due;
  }

  /** The version that the next message's changes apply to; 0 if it contains the full set. */
  long baseVersion() {
    return baseVersion;
  }

  /** The tasks whose assignments changed after this version; all published tasks for 0. */
  List<TaskId> changesSince(long version) {
    return version == 0 ? List.copyOf(published.keySet()) : changes.changedSince(version);
  }

  /** Records that a message is being sent, and returns its version. */
  long markSent(MonotonicTime now) {
    dirty = false;
    if (acknowledgedVersion >= sentVersion) {
      awaitingAckSince = now;
    }
    sentVersion++;
    baseVersion = sentVersion;
    return sentVersion;
  }

  /** Records that the owner has acknowledged this term's set up to a version. */
  void onAck(long version, MonotonicTime now) {
    if (version > acknowledgedVersion) {
      acknowledgedVersion = version;
      awaitingAckSince = now;
      changes.discardAcknowledged(version);
    }
  }

  /**
   * For how long changes have been outstanding without a new acknowledgement. Progress since the
   * last call is recorded as of {@code now}.
   *
   * @param hasOwner whether the shard has an owner; without one no acknowledgement is expected
   */
  Duration unacknowledgedFor(MonotonicTime now, boolean hasOwner) {
    boolean fullyAcknowledged = !dirty && acknowledgedVersion >= sentVersion;
    if (fullyAcknowledged || acknowledgedVersion > lastAckProgressVersion || !hasOwner) {
      lastAckProgressAt = now;
      lastAckProgressVersion = acknowledgedVersion;
    }
    return now.since(lastAckProgressAt);
  }
}
