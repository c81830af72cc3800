package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.store.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control records as last received from the store: the leader, the controllers' sessions and
 * feature levels, the owner of each shard and the machines of each shard.
 */
public final class ClusterView {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterView.class);
  private static final String NODE = "node";
  private static final String LEASE = "hold";
  private static final String OWNER = "holder";
  private static final String FEATURE_LEVEL = "build";

  /**
   * The record of the leader.
   *
   * @param term the leader's term, which is the revision at which it wrote the key
   * @param lease the lease that the key is bound to
   */
  public record LeaderRecord(NodeId node, Revision term, LeaseId lease) {
    private static LeaderRecord read(KeyValue item) {
      return new LeaderRecord(
          new NodeId(item.value().path(NODE).asText()), item.revision(), readLease(item));
    }
  }

  /** The session of a controller, and the revision at which it was stored. */
  public record NodeRecord(LeaseId lease, Revision revision) {}

  /** A shard's owner, whose fencing tokens start from the revision of this grant. */
  public record GrantRecord(NodeId owner, Revision revision) {
    private static boolean isReadable(KeyValue item) {
      return item.value().path(OWNER).isTextual();
    }

    private static GrantRecord read(KeyValue item) {
      return new GrantRecord(new NodeId(item.value().path(OWNER).asText()), item.revision());
    }
  }

  /**
   * A machine of a shard.
   *
   * @param spot whether the cloud may interrupt it
   * @param up whether it is known to have come up; until then no task is placed on it
   */
  public record MachineRecord(MachineTypeId type, boolean spot, boolean up) {}

  /**
   * The record of a shard.
   *
   * @param lastOwner the shard's owner when the record was written; a hint, which older builds
   *     leave out
   * @param unknownFields fields that this build doesn't know; kept when the record is rewritten
   */
  public record ShardRecord(
      ZoneId zone,
      Map<MachineId, MachineRecord> machines,
      Revision revision,
      Optional<NodeId> lastOwner,
      Optional<UnknownFields> unknownFields) {
    private static final String LAST_OWNER = "last";
    private static final String ZONE = "zone";
    private static final String MACHINES = "machines";
    private static final String TYPE = "type";
    private static final String SPOT = "spot";
    private static final String UP = "up";

    /** Returns the stored form of a shard; without {@code lastOwner} that field is left out. */
    public static JsonNode write(
        ZoneId zone, Map<MachineId, MachineRecord> machines, Optional<NodeId> lastOwner) {
      ObjectNode node = Json.object();
      node.put(ZONE, zone.value());
      lastOwner.ifPresent(last -> node.put(LAST_OWNER, last.value()));
      ObjectNode list = node.putObject(MACHINES);
      machines.forEach(
          (id, machine) -> {
            ObjectNode item = list.putObject(id.value());
            item.put(TYPE, machine.type().value());
            item.put(SPOT, machine.spot());
            item.put(UP, machine.up());
          });
      return node;
    }

    static ShardRecord read(KeyValue item) throws MalformedMessageException {
      Map<MachineId, MachineRecord> machines = readMachines(item.value().path(MACHINES));
      ZoneId zone = new ZoneId(Json.text(item.value(), ZONE));
      Optional<NodeId> lastOwner =
          Optional.of(item.value().path(LAST_OWNER))
              .filter(JsonNode::isTextual)
              .map(node -> new NodeId(node.asText()));
      return new ShardRecord(
          zone,
          machines,
          item.revision(),
          lastOwner,
          UnknownFields.find(write(zone, machines, lastOwner), item.value()));
    }

    private static Map<MachineId, MachineRecord> readMachines(JsonNode list)
        throws MalformedMessageException {
      if (!list.isObject()) {
        throw new MalformedMessageException("machines is not an object");
      }
      Map<MachineId, MachineRecord> machines = new TreeMap<>();
      for (Map.Entry<String, JsonNode> field : list.properties()) {
        JsonNode machine = field.getValue();
        machines.put(
            new MachineId(field.getKey()),
            new MachineRecord(
                new MachineTypeId(Json.text(machine, TYPE)),
                Json.flag(machine, SPOT),
                Json.flag(machine, UP)));
      }
      return machines;
    }
  }

  private Revision revision = new Revision(0);
  private Optional<LeaderRecord> leader = Optional.empty();
  private final Map<NodeId, NodeRecord> nodes = new HashMap<>();
  private final Map<ShardId, GrantRecord> grants = new HashMap<>();
  private final Map<ShardId, ShardRecord> shards = new LinkedHashMap<>();
  private final Map<MachineId, ShardId> shardOf = new HashMap<>();
  private final Map<NodeId, Integer> featureLevels = new HashMap<>();
  private final Set<ShardId> unreadableShards = new HashSet<>();
  private final Set<ShardId> unreadableGrants = new HashSet<>();

  /** Returns the stored form of the leader. */
  public static JsonNode leaderValue(NodeId node, LeaseId lease) {
    return Json.object().put(NODE, node.value()).put(LEASE, lease.value());
  }

  /** Returns the stored form of a controller's feature level. */
  public static JsonNode featureLevelValue(int level) {
    return Json.object().put(FEATURE_LEVEL, level);
  }

  /** Returns the stored form of a controller's session. */
  public static JsonNode nodeValue(LeaseId lease) {
    return Json.object().put(LEASE, lease.value());
  }

  /** Returns the stored form of a shard's owner. */
  public static JsonNode grantValue(NodeId owner) {
    return Json.object().put(OWNER, owner.value());
  }

  /** Records that all changes up to the revision have been applied. */
  public void markCurrentAsOf(Revision upTo) {
    revision = upTo;
  }

  /** The revision up to which the view has all changes; it may have some later ones. */
  public Revision revision() {
    return revision;
  }

  /** Applies a change of a control key; the item is empty if the key was deleted. */
  public void apply(String key, Optional<KeyValue> item) {
    if (key.equals(StoreKeys.LEADER)) {
      leader = item.map(LeaderRecord::read);
      LOG.info("leader key changed, leader={}", leader);
    } else if (key.startsWith(StoreKeys.NODES)) {
      NodeId node = new NodeId(key.substring(StoreKeys.NODES.length()));
      // Without a readable lease the controller gets no shards: no grant could be bound to it.
      putOrRemove(nodes, node, item.filter(ClusterView::hasLease).map(ClusterView::readNode));
    } else if (key.startsWith(StoreKeys.FEATURE_LEVELS)) {
      putOrRemove(
          featureLevels,
          new NodeId(key.substring(StoreKeys.FEATURE_LEVELS.length())),
          item.map(ClusterView::readFeatureLevel));
    } else if (key.startsWith(StoreKeys.GRANTS)) {
      applyGrant(StoreKeys.shardOfGrant(key), item);
    } else if (key.startsWith(StoreKeys.SHARDS)) {
      applyShard(new ShardId(key.substring(StoreKeys.SHARDS.length())), item);
    }
  }

  /** Reads the leader's record. */
  public static LeaderRecord readLeader(KeyValue item) {
    return LeaderRecord.read(item);
  }

  /** Reads the record of a shard's owner; empty if this build can't read it. */
  public static Optional<GrantRecord> readGrant(KeyValue item) {
    return Optional.of(item).filter(GrantRecord::isReadable).map(GrantRecord::read);
  }

  /** Reads the feature level of a controller; 0 if none is stored or it is not a number. */
  public static int readFeatureLevel(KeyValue item) {
    return item.value().path(FEATURE_LEVEL).asInt();
  }

  /** Reads the session of a controller. */
  public static NodeRecord readNode(KeyValue item) {
    return new NodeRecord(readLease(item), item.revision());
  }

  private static LeaseId readLease(KeyValue item) {
    return new LeaseId(item.value().path(LEASE).asLong());
  }

  private static boolean hasLease(KeyValue item) {
    return item.value().path(LEASE).canConvertToLong();
  }

  private void applyGrant(ShardId shard, Optional<KeyValue> item) {
    unreadableGrants.remove(shard);
    Optional<GrantRecord> grant = item.flatMap(ClusterView::readGrant);
    if (item.isPresent() && grant.isEmpty()) {
      LOG.warn("stored record unreadable, key={} reason=no owner", item.get().key());
      unreadableGrants.add(shard);
    }
    putOrRemove(grants, shard, grant);
  }

  private void applyShard(ShardId shard, Optional<KeyValue> item) {
    ShardRecord old = shards.get(shard);
    Optional<ShardRecord> record = Optional.empty();
    unreadableShards.remove(shard);
    if (item.isPresent()) {
      try {
        record = Optional.of(ShardRecord.read(item.get()));
      } catch (MalformedMessageException e) {
        LOG.warn("stored record unreadable, key={} reason={}", item.get().key(), e.getMessage());
        unreadableShards.add(shard);
        // Its machines stay mapped to it: a hint for workers that look for their shard's owner.
        shards.remove(shard);
        return;
      }
    }
    if (old != null) {
      old.machines().keySet().forEach(machine -> shardOf.remove(machine, shard));
    }
    putOrRemove(shards, shard, record);
    record.ifPresent(
        found -> found.machines().keySet().forEach(machine -> shardOf.put(machine, shard)));
  }

  private static <K, V> void putOrRemove(Map<K, V> map, K key, Optional<V> value) {
    if (value.isPresent()) {
      map.put(key, value.get());
    } else {
      map.remove(key);
    }
  }

  /** Returns the leader; empty if there is none. */
  public Optional<LeaderRecord> leader() {
    return leader;
  }

  /** Returns the controllers that have a session with a readable lease. */
  public Map<NodeId, NodeRecord> nodes() {
    return nodes;
  }

  /** Returns the owner of each shard; shards without a readable owner are left out. */
  public Map<ShardId, GrantRecord> grants() {
    return grants;
  }

  /** Returns the shards whose records this build can read. */
  public Map<ShardId, ShardRecord> shards() {
    return shards;
  }

  /** Returns the feature level of each controller; builds that don't publish one are left out. */
  public Map<NodeId, Integer> featureLevels() {
    return featureLevels;
  }

  /** Returns the shards whose records this build can't read; it must not act on them. */
  public Set<ShardId> unreadableShards() {
    return unreadableShards;
  }

  /** Returns the shards whose owner is stored in a form that this build can't read. */
  public Set<ShardId> unreadableGrants() {
    return unreadableGrants;
  }

  /** Returns the shard that a machine belongs to; empty if it is not known. */
  public Optional<ShardId> shardOf(MachineId machine) {
    return Optional.ofNullable(shardOf.get(machine));
  }
}
