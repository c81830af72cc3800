package org.mulleinshift.sharding;

import java.util.Optional;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The fencing token under which an owner commands one machine. Each grant has a higher token than
 * the one before; within a grant the token is raised whenever commands that were sent may not have
 * arrived, or must not be carried out again.
 */
final class MachineToken {
  /** Low-order bits that count raises on one machine; the bits above them hold the grant. */
  private static final int LOCAL_BITS = 20;

  private final FencingToken first;
  private FencingToken value;
  private Optional<MonotonicTime> unacknowledgedSince = Optional.empty();

  /** Creates the first token of a grant. */
  MachineToken(Revision grant) {
    this.first = first(grant);
    this.value = first;
  }

  /** The first token of a grant. It rises with every grant because the store's revisions do. */
  static FencingToken first(Revision grant) {
    return new FencingToken(grant.value() << LOCAL_BITS);
  }

  /** Whether the token was issued under that grant. */
  static boolean belongsTo(FencingToken token, Revision grant) {
    return token.value() >> LOCAL_BITS == grant.value();
  }

  /** The first token of the grant. */
  FencingToken first() {
    return first;
  }

  FencingToken value() {
    return value;
  }

  /**
   * Raises the token: a worker that has received the new one drops all commands sent under the old
   * one. Until the worker acknowledges the new token, it is unknown whether it receives anything
   * from this node, even if its heartbeats arrive.
   */
  void raise(MonotonicTime now) {
    raiseInResponse();
    unacknowledgedSince = Optional.of(unacknowledgedSince.orElse(now));
  }

  /**
   * Raises the token in the response to a heartbeat. Unlike {@link #raise}, this happens without
   * any doubt that the worker receives responses, and casts none.
   */
  void raiseInResponse() {
    value = new FencingToken(value.value() + 1);
  }

  /** Adopts a higher token of the same grant that the worker reports; a lower one is ignored. */
  void adopt(FencingToken reported) {
    if (reported.compareTo(value) > 0) {
      value = reported;
    }
  }

  /** Handles the worker's report of the highest token that it has received. */
  void onReported(FencingToken highest) {
    if (isAcknowledgedBy(highest)) {
      unacknowledgedSince = Optional.empty();
    }
  }

  /** Whether a worker that reports this highest token has received the current one. */
  boolean isAcknowledgedBy(FencingToken highest) {
    return highest.compareTo(value) >= 0;
  }

  /**
   * Since when a raised token has been unacknowledged, so that it is unknown whether the worker
   * receives anything; empty if there is none.
   */
  Optional<MonotonicTime> unacknowledgedSince() {
    return unacknowledgedSince;
  }
}
