package org.mulleinshift.sharding;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;

/** The leader's view of all shards during a term. Submits their records and grants to the store. */
public final class ShardTable {
  /** Receives changes that other components must act on. */
  public interface Listener {
    /** Something that is sent to a shard's owner has changed. */
    void onShardChanged();

    /** A shard's record was stored, so its machines may take tasks. */
    void onShardStored();
  }

  private final TransactionBatcher batcher;
  private final Listener listener;
  private final Map<ShardId, ShardView> shards = new TreeMap<>();

  /**
   * Creates an empty table.
   *
   * @param batcher writes records and grants to the store
   */
  public ShardTable(TransactionBatcher batcher, Listener listener) {
    this.batcher = batcher;
    this.listener = listener;
  }

  /** Adds a shard, replacing one of the same id. */
  public void add(ShardView shard) {
    shards.put(shard.id(), shard);
  }

  /** Returns the shard; empty if it is not known. */
  public Optional<ShardView> find(ShardId id) {
    return Optional.ofNullable(shards.get(id));
  }

  /** Returns all shards, ordered by id. */
  public Collection<ShardView> all() {
    return shards.values();
  }

  /** Whether the machine belongs to any shard. */
  public boolean containsMachine(MachineId machine) {
    return shards.values().stream().anyMatch(shard -> shard.machines().containsKey(machine));
  }

  /** Returns the zone of a shard; for an unknown shard, a zone named after the shard. */
  public ZoneId zoneOf(ShardId id) {
    return find(id).map(ShardView::zone).orElseGet(() -> new ZoneId(id.value()));
  }

  /** Has the assignment sent to its shard's owner, also if it was sent before. */
  public void publish(TaskAssignment assignment) {
    find(assignment.shard())
        .ifPresent(
            shard -> {
              shard.assignments().publish(assignment);
              listener.onShardChanged();
            });
  }

  /** Has the shard's owner told that the assignment no longer exists. */
  public void retract(TaskAssignment assignment) {
    find(assignment.shard())
        .ifPresent(
            shard -> {
              shard.assignments().retract(assignment);
              listener.onShardChanged();
            });
  }

  /** Has a message sent to the shard's owner, since something else that it contains has changed. */
  public void markChanged(ShardId id) {
    find(id)
        .ifPresent(
            shard -> {
              shard.markDirty();
              listener.onShardChanged();
            });
  }

  /** Has the owner of the machine's shard told which machines must not take new tasks. */
  public void markChanged(MachineId machine) {
    shards.values().stream()
        .filter(shard -> shard.machines().containsKey(machine))
        .forEach(shard -> markChanged(shard.id()));
  }

  /** Notifies the listener that something that is sent to an owner has changed. */
  void notifyChanged() {
    listener.onShardChanged();
  }

  /** Submits the shard's record to the store. */
  public void store(ShardView shard) {
    batcher.submit(StoreKeys.shard(shard.id()), new ShardMutation(shard));
  }

  /** Submits the shard's record with low priority: it is stored once no other write is pending. */
  public void storeWhenIdle(ShardView shard) {
    batcher.submitWhenIdle(StoreKeys.shard(shard.id()), new ShardMutation(shard));
  }

  /** Submits a grant of the shard to the store. */
  void storeGrant(ShardId id, TransactionBatcher.Mutation grant) {
    batcher.submit(StoreKeys.grant(id), grant);
  }

  /** Records the revision of the shard's stored grant; empty if it has none. */
  void recordGrantRevision(ShardId id, Optional<Revision> revision) {
    String key = StoreKeys.grant(id);
    revision.ifPresentOrElse(
        known -> batcher.recordRevision(key, known), () -> batcher.forgetRevision(key));
  }

  /** Whether the shard's record is known to be stored. */
  boolean isStored(ShardId id) {
    return batcher.hasRevision(StoreKeys.shard(id));
  }

  private final class ShardMutation implements TransactionBatcher.Mutation {
    private final ShardView shard;

    ShardMutation(ShardView shard) {
      this.shard = shard;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.put(StoreKeys.shard(shard.id()), shard.storedValue()));
    }

    @Override
    public void onCommitted(Revision revision) {
      markChanged(shard.id());
      listener.onShardStored();
    }
  }
}
