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

/** All shards as the leader of a term knows them; has their records and grants stored. */
public final class ShardTable {
  /** Notified of changes that others have to act on. */
  public interface Listener {
    /** Something new is to be sent to an owner. */
    void onShardChanged();

    /** A shard's record is stored: its machines may take tasks. */
    void onShardStored();
  }

  private final TransactionBatcher batcher;
  private final Listener listener;
  private final Map<ShardId, ShardView> shards = new TreeMap<>();

  /**
   * An empty table.
   *
   * @param batcher stores records and grants
   */
  public ShardTable(TransactionBatcher batcher, Listener listener) {
    this.batcher = batcher;
    this.listener = listener;
  }

  /** Adds a shard. */
  public void add(ShardView shard) {
    shards.put(shard.id(), shard);
  }

  /** The shard with that id, if it is known. */
  public Optional<ShardView> find(ShardId id) {
    return Optional.ofNullable(shards.get(id));
  }

  /** All shards, in the order of their ids. */
  public Collection<ShardView> all() {
    return shards.values();
  }

  /** Whether the machine belongs to any shard. */
  public boolean containsMachine(MachineId machine) {
    return shards.values().stream().anyMatch(shard -> shard.machines().containsKey(machine));
  }

  /** The zone of a shard; a shard that is not known counts as a zone of its own. */
  public ZoneId zoneOf(ShardId id) {
    return find(id).map(ShardView::zone).orElseGet(() -> new ZoneId(id.value()));
  }

  /** The owner of the assignment's shard is to receive it, or to receive it again. */
  public void publish(TaskAssignment assignment) {
    find(assignment.shard())
        .ifPresent(
            shard -> {
              shard.assignments().publish(assignment);
              listener.onShardChanged();
            });
  }

  /** The owner of the assignment's shard is to learn that the task is no longer its own. */
  public void retract(TaskAssignment assignment) {
    find(assignment.shard())
        .ifPresent(
            shard -> {
              shard.assignments().retract(assignment);
              listener.onShardChanged();
            });
  }

  /** Something else that the shard's owner receives has changed. */
  public void markChanged(ShardId id) {
    find(id)
        .ifPresent(
            shard -> {
              shard.markDirty();
              listener.onShardChanged();
            });
  }

  /** The owner of the machine's shard is to learn which machines take no new task. */
  public void markChanged(MachineId machine) {
    shards.values().stream()
        .filter(shard -> shard.machines().containsKey(machine))
        .forEach(shard -> markChanged(shard.id()));
  }

  /** Something that is to be sent to an owner has changed. */
  void notifyChanged() {
    listener.onShardChanged();
  }

  /** Has the shard's record stored. */
  public void store(ShardView shard) {
    batcher.submit(StoreKeys.shard(shard.id()), new ShardMutation(shard));
  }

  /** Has the shard's record stored once nothing else is to be stored. */
  public void storeWhenIdle(ShardView shard) {
    batcher.submitWhenIdle(StoreKeys.shard(shard.id()), new ShardMutation(shard));
  }

  /** Has a grant of the shard stored. */
  void storeGrant(ShardId id, TransactionBatcher.Mutation grant) {
    batcher.submit(StoreKeys.grant(id), grant);
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
