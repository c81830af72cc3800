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
 * The assignments of a shard that its owner has received or is to receive, by version. A message
 * holds only what has changed since a version that the owner acknowledged, so that it costs what
 * changed and not the size of the shard.
 */
final class PublishedAssignments {
  private final Map<TaskId, TaskAssignment> published = new LinkedHashMap<>();
  private final ChangeLog<TaskId> changes = new ChangeLog<>();
  private long sentVersion;
  private long acknowledgedVersion;

  /** The version on which the next message builds. */
  private long baseVersion;

  private boolean dirty = true;
  private MonotonicTime awaitingAckSince;

  /** When the owner last acknowledged anything new, or had nothing to acknowledge. */
  private MonotonicTime lastAckProgressAt;

  /** The acknowledged version at that time. */
  private long lastAckProgressVersion;

  /** Nothing is published yet. */
  PublishedAssignments(MonotonicTime now) {
    this.awaitingAckSince = now;
    this.lastAckProgressAt = now;
  }

  /** A new owner is sent the full set, under a higher version. */
  void resetForNewOwner(MonotonicTime now) {
    lastAckProgressAt = now;
    lastAckProgressVersion = 0;
    acknowledgedVersion = 0;
    changes.clear();
    dirty = true;
    baseVersion = 0;
  }

  /** A stored assignment that the owner is to receive, or to receive again. */
  void publish(TaskAssignment assignment) {
    published.put(assignment.task(), assignment);
    markChanged(assignment.task());
  }

  /** The assignment is over; nothing happens if another one of its task has replaced it. */
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

  /** Something else that the owner receives has changed. */
  void markDirty() {
    dirty = true;
  }

  /** Whether something is to be sent that was not sent yet. */
  boolean hasUnsentChanges() {
    return dirty;
  }

  /**
   * Whether the owner has long not acknowledged what was sent: it is sent from there again.
   *
   * @param resendAfter how long to wait for an acknowledgement
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

  /** The version on which the next message builds; 0: it holds the full set. */
  long baseVersion() {
    return baseVersion;
  }

  /** Tasks to name in a message that builds on this version. */
  List<TaskId> changesSince(long version) {
    return version == 0 ? List.copyOf(published.keySet()) : changes.changedSince(version);
  }

  /** A message is sent; returns its version. */
  long markSent(MonotonicTime now) {
    dirty = false;
    if (acknowledgedVersion >= sentVersion) {
      awaitingAckSince = now;
    }
    sentVersion++;
    baseVersion = sentVersion;
    return sentVersion;
  }

  /** The version up to which the owner knows the set of this term. */
  void onAck(long version, MonotonicTime now) {
    if (version > acknowledgedVersion) {
      acknowledgedVersion = version;
      awaitingAckSince = now;
      changes.discardAcknowledged(version);
    }
  }

  /**
   * For how long the owner has acknowledged nothing new of what was sent.
   *
   * @param hasOwner whether the shard has an owner; without one nothing is awaited
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
