package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** Mutations that wait to be stored, by name; selects those of the next transaction. */
final class PendingMutations {
  /** A mutation that is not urgent is treated like an urgent one once it has waited this long. */
  private static final Duration MAX_DEFERRAL = Duration.ofSeconds(2);

  /**
   * Maximum estimated length of a transaction; only a single mutation that is longer by itself
   * exceeds it.
   */
  private static final int MAX_TRANSACTION_BYTES = 48_000;

  /** Estimated bytes of a write and its guard, without the key and the value. */
  private static final int WRITE_OVERHEAD_BYTES = 200;

  /**
   * The mutations of one transaction.
   *
   * @param sourceQueue the queue that they were taken from
   * @param mutations by name, in the order of their writes
   */
  record Batch(
      Map<String, TransactionBatcher.Mutation> sourceQueue,
      Map<String, TransactionBatcher.Mutation> mutations,
      List<Write> writes,
      KeyValueStore.Urgency urgency) {

    /** The number of writes by kind of key; see {@link StoreKeys#kindOf}. */
    Map<String, Integer> writesByKind() {
      Map<String, Integer> counts = new TreeMap<>();
      writes.forEach(write -> counts.merge(StoreKeys.kindOf(write.key()), 1, Integer::sum));
      return counts;
    }

    /** The keys that the batch writes, without duplicates, in the order of their writes. */
    Set<String> keys() {
      Set<String> keys = new LinkedHashSet<>();
      writes.forEach(write -> keys.add(write.key()));
      return keys;
    }
  }

  private final EventLoop loop;
  private final int maxWrites;
  private final Map<String, TransactionBatcher.Mutation> pending = new LinkedHashMap<>();
  private final Map<String, TransactionBatcher.Mutation> whenIdle = new LinkedHashMap<>();
  private final Map<String, MonotonicTime> submittedAt = new HashMap<>();
  private int remainingSingleCommits;

  /**
   * Creates an empty queue.
   *
   * @param maxWrites maximum number of writes of a transaction
   */
  PendingMutations(EventLoop loop, int maxWrites) {
    this.loop = loop;
    this.maxWrites = maxWrites;
  }

  /** Adds a mutation; replaces one of the same name that is still pending. */
  void add(String name, TransactionBatcher.Mutation mutation) {
    pending.put(name, mutation);
    submittedAt.putIfAbsent(name, loop.now());
  }

  /** Adds a mutation that is taken only when no other one is pending. */
  void addWhenIdle(String name, TransactionBatcher.Mutation mutation) {
    whenIdle.put(name, mutation);
  }

  void clear() {
    pending.clear();
    whenIdle.clear();
    submittedAt.clear();
  }

  /** Removes and returns the mutations of the next transaction; empty if there are no writes. */
  Optional<Batch> takeBatch() {
    boolean idle = pending.isEmpty();
    Batch batch =
        new Batch(
            idle ? whenIdle : pending,
            new LinkedHashMap<>(),
            new ArrayList<>(),
            idle ? KeyValueStore.Urgency.LOW : KeyValueStore.Urgency.NORMAL);
    fill(batch);
    if (batch.writes().isEmpty()) {
      return Optional.empty();
    }
    remainingSingleCommits = Math.max(0, remainingSingleCommits - 1);
    return Optional.of(batch);
  }

  private void fill(Batch batch) {
    int batchBytes = 0;
    for (String name : prioritize(batch.sourceQueue())) {
      TransactionBatcher.Mutation mutation = batch.sourceQueue().get(name);
      List<Write> writes = mutation.writes();
      if (writes.isEmpty()) {
        batch.sourceQueue().remove(name);
        submittedAt.remove(name);
        continue;
      }
      int mutationBytes = writes.stream().mapToInt(PendingMutations::estimatedBytes).sum();
      boolean full =
          remainingSingleCommits > 0
              || batch.writes().size() + writes.size() > maxWrites
              || batchBytes + mutationBytes > MAX_TRANSACTION_BYTES;
      if (!batch.writes().isEmpty() && full) {
        return;
      }
      batchBytes += mutationBytes;
      batch.writes().addAll(writes);
      batch.mutations().put(name, mutation);
      batch.sourceQueue().remove(name);
    }
  }

  /**
   * Orders the names: urgent mutations that take precedence, then other urgent and overdue ones,
   * then the rest. When the write rate is low, a mutation that is not urgent lets others go first,
   * but only for {@link #MAX_DEFERRAL}.
   */
  private List<String> prioritize(Map<String, TransactionBatcher.Mutation> queue) {
    List<String> ordered = new ArrayList<>();
    List<String> urgentOrOverdue = new ArrayList<>();
    List<String> deferrable = new ArrayList<>();
    MonotonicTime overdueBefore = loop.now().minus(MAX_DEFERRAL);
    queue.forEach(
        (name, mutation) -> {
          boolean urgent = mutation.urgent();
          if (urgent && mutation.takesPrecedence()) {
            ordered.add(name);
          } else if (urgent || isOverdue(name, overdueBefore)) {
            urgentOrOverdue.add(name);
          } else {
            deferrable.add(name);
          }
        });
    ordered.addAll(urgentOrOverdue);
    ordered.addAll(deferrable);
    return ordered;
  }

  private boolean isOverdue(String name, MonotonicTime overdueBefore) {
    MonotonicTime submitted = submittedAt.get(name);
    return submitted == null || overdueBefore.isAfter(submitted);
  }

  private static int estimatedBytes(Write write) {
    return WRITE_OVERHEAD_BYTES
        + write.key().length()
        + write.value().map(String::length).orElse(0);
  }

  /**
   * Returns a batch to the front of its queue. A mutation of the same name that was submitted since
   * the batch was taken is newer and is kept instead.
   */
  void restore(Batch batch) {
    Map<String, TransactionBatcher.Mutation> newer = new LinkedHashMap<>(batch.sourceQueue());
    batch.sourceQueue().clear();
    batch.sourceQueue().putAll(batch.mutations());
    batch.sourceQueue().putAll(newer);
  }

  /**
   * Restores a rejected batch. The next batches, as many as it had mutations, hold one mutation
   * each, so that the one that causes the rejection can be identified.
   */
  void restoreForSingleCommits(Batch batch) {
    remainingSingleCommits = batch.mutations().size();
    restore(batch);
  }

  /** Drops the waiting time of a mutation that was rejected alone. */
  void onRejected(String name) {
    submittedAt.remove(name);
  }

  /**
   * Drops the waiting times of the batch's mutations, except of those that are pending again, whose
   * time goes on.
   */
  void onCommitted(Batch batch) {
    batch.mutations().keySet().stream()
        .filter(name -> !pending.containsKey(name))
        .forEach(submittedAt::remove);
  }
}
