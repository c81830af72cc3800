package org.mulleinshift.sharding;

import java.util.Optional;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The fencing token under which an owner commands one machine. It rises with every grant, and
 * within a grant whenever commands were sent that may not have arrived.
 */
final class MachineToken {
  /** Low bits of a token, for raising it on one machine without a new grant. */
  private static final int LOCAL_BITS = 20;

  private FencingToken value;
  private Optional<MonotonicTime> unacknowledgedSince = Optional.empty();

  /** The first token of a grant. */
  MachineToken(Revision grant) {
    this.value = first(grant);
  }

  /** Rises with every grant, since the store's revisions do. */
  static FencingToken first(Revision grant) {
    return new FencingToken(grant.value() << LOCAL_BITS);
  }

  /** Whether the token is of that grant. */
  static boolean belongsTo(FencingToken token, Revision grant) {
    return token.value() >> LOCAL_BITS == grant.value();
  }

  FencingToken value() {
    return value;
  }

  /**
   * Commands were not answered: from now on whatever was sent under the old token is dropped by a
   * worker that has received the new one. Until it shows that it has, nobody knows whether it
   * receives anything, whatever it reports.
   */
  void raise(MonotonicTime now) {
    value = new FencingToken(value.value() + 1);
    unacknowledgedSince = Optional.of(unacknowledgedSince.orElse(now));
  }

  /** The worker knows a higher token of the same grant: never fall behind it. */
  void adopt(FencingToken reported) {
    if (reported.compareTo(value) > 0) {
      value = reported;
    }
  }

  /** The highest token that the worker has received, as it reports. */
  void onReported(FencingToken highest) {
    if (isAcknowledgedBy(highest)) {
      unacknowledgedSince = Optional.empty();
    }
  }

  /** Whether a worker whose highest token is this one has received the current token. */
  boolean isAcknowledgedBy(FencingToken highest) {
    return highest.compareTo(value) >= 0;
  }

  /** Since when it is unknown whether the worker receives anything; empty if it does. */
  Optional<MonotonicTime> unacknowledgedSince() {
    return unacknowledgedSince;
  }
}
