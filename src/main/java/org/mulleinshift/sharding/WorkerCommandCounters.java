package org.mulleinshift.sharding;

import java.util.EnumMap;
import java.util.Map;
import org.mulleinshift.protocol.ShardId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts the commands to a shard's workers and what became of them, and logs the counts. */
final class WorkerCommandCounters {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCommandCounters.class);

  private final ShardId shard;
  private final Map<TokenRaise, Long> tokenRaises = new EnumMap<>(TokenRaise.class);
  private long directMessages;
  private long refused;
  private long unanswered;
  private long listedAgain;
  private boolean changed;

  /** Creates counters that are 0. */
  WorkerCommandCounters(ShardId shard) {
    this.shard = shard;
  }

  /** Counts a direct message to a worker. */
  void onDirectMessage() {
    directMessages++;
    changed = true;
  }

  /** Counts a direct message whose token or epoch the worker refused. */
  void onRefused() {
    refused++;
  }

  /** Counts a direct message without a valid response. */
  void onUnanswered() {
    unanswered++;
  }

  /** Counts a raise of a machine's fencing token. */
  void onTokenRaised(TokenRaise reason) {
    tokenRaises.merge(reason, 1L, Long::sum);
    changed = true;
  }

  /** Counts an attempt that a worker lists again although it had forgotten it. */
  void onListedAgain() {
    listedAgain++;
    changed = true;
  }

  /** The number of attempts that workers listed again although they had forgotten them. */
  long listedAgain() {
    return listedAgain;
  }

  /** The number of direct messages that workers refused. */
  long refused() {
    return refused;
  }

  /** Logs the counts since the grant, if they have changed since they were last logged. */
  void logIfChanged() {
    if (changed) {
      changed = false;
      LOG.info(
          "worker commands, shard={} direct_messages={} refused={} unanswered={} listed_again={}"
              + " token_raises={}",
          shard,
          directMessages,
          refused,
          unanswered,
          listedAgain,
          tokenRaises);
    }
  }
}
