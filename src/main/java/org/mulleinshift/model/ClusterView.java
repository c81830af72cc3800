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

/** Who leads, who holds which shard, and which machines belong to it, as last seen. */
public final class ClusterView {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterView.class);

  /** The leader; its term is the revision at which it took the key, which hangs on the lease. */
  public record LeaderRecord(NodeId node, Revision term, LeaseId lease) {}

  public record NodeRecord(LeaseId lease, Revision revision) {}

  /** A shard's owner; the revision of the grant is what its fencing tokens start from. */
  public record GrantRecord(NodeId owner, Revision revision) {}

  /** A machine of a shard. Until it is up nobody has placed anything on it. */
  public record MachineRecord(MachineTypeId type, boolean spot, boolean up) {}

  /**
   * A shard.
   *
   * @param lastHolder who held it when it was written; advice, which older builds leave out
   * @param unknownFields fields that this build doesn't know, kept when it is rewritten
   */
  public record ShardRecord(
      ZoneId zone,
      Map<MachineId, MachineRecord> machines,
      Revision revision,
      Optional<NodeId> lastOwner,
      Optional<UnknownFields> unknownFields) {
    private static final String LAST_OWNER = "last";

    public static JsonNode write(
        ZoneId zone, Map<MachineId, MachineRecord> machines, Optional<NodeId> lastOwner) {
      ObjectNode node = Json.object();
      node.put("zone", zone.value());
      lastOwner.ifPresent(last -> node.put(LAST_OWNER, last.value()));
      ObjectNode list = node.putObject("machines");
      machines.forEach(
          (id, machine) -> {
            ObjectNode item = list.putObject(id.value());
            item.put("type", machine.type().value());
            item.put("spot", machine.spot());
            item.put("up", machine.up());
          });
      return node;
    }

    static ShardRecord read(KeyValue item) throws MalformedMessageException {
      JsonNode list = item.value().path("machines");
      if (!list.isObject()) {
        throw new MalformedMessageException("no machines");
      }
      Map<MachineId, MachineRecord> machines = new TreeMap<>();
      for (Map.Entry<String, JsonNode> field : list.properties()) {
        machines.put(
            new MachineId(field.getKey()),
            new MachineRecord(
                new MachineTypeId(Json.text(field.getValue(), "type")),
                Json.flag(field.getValue(), "spot"),
                Json.flag(field.getValue(), "up")));
      }
      ZoneId zone = new ZoneId(Json.text(item.value(), "zone"));
      Optional<NodeId> last =
          Optional.of(item.value().path(LAST_OWNER))
              .filter(JsonNode::isTextual)
              .map(node -> new NodeId(node.asText()));
      return new ShardRecord(
          zone,
          machines,
          item.revision(),
          last,
          UnknownFields.beyond(write(zone, machines, last), item.value()));
    }
  }

  private static final String BUILD = "build";

  private Optional<LeaderRecord> leader = Optional.empty();
  private final Map<NodeId, NodeRecord> nodes = new HashMap<>();
  private final Map<ShardId, GrantRecord> grants = new HashMap<>();
  private final Map<ShardId, ShardRecord> shards = new LinkedHashMap<>();
  private final Map<MachineId, ShardId> shardOf = new HashMap<>();
  private final Map<NodeId, Integer> featureLevels = new HashMap<>();
  private final Set<ShardId> unreadableShards = new HashSet<>();
  private final Set<ShardId> unreadableGrants = new HashSet<>();

  public static JsonNode leaderValue(NodeId node, LeaseId hold) {
    return Json.object().put("node", node.value()).put("hold", hold.value());
  }

  public static JsonNode featureLevelValue(int build) {
    return Json.object().put(BUILD, build);
  }

  public static JsonNode nodeValue(LeaseId hold) {
    return Json.object().put("hold", hold.value());
  }

  public static JsonNode grantValue(NodeId owner) {
    return Json.object().put("holder", owner.value());
  }

  public void apply(String key, Optional<KeyValue> item) {
    if (key.equals(StoreKeys.LEADER)) {
      leader =
          item.map(
              found ->
                  new LeaderRecord(
                      new NodeId(found.value().path("node").asText()),
                      found.revision(),
                      new LeaseId(found.value().path("hold").asLong())));
    } else if (key.startsWith(StoreKeys.NODES)) {
      NodeId node = new NodeId(key.substring(StoreKeys.NODES.length()));
      // One without a hold that can be read gets no shard: it would hang on nothing.
      set(nodes, node, item.filter(ClusterView::hasHold).map(ClusterView::nodeRecord));
    } else if (key.startsWith(StoreKeys.FEATURE_LEVELS)) {
      set(
          featureLevels,
          new NodeId(key.substring(StoreKeys.FEATURE_LEVELS.length())),
          item.map(found -> found.value().path(BUILD).asInt()));
    } else if (key.startsWith(StoreKeys.GRANTS)) {
      applyGrant(new ShardId(key.substring(StoreKeys.GRANTS.length())), item);
    } else if (key.startsWith(StoreKeys.SHARDS)) {
      applyShard(new ShardId(key.substring(StoreKeys.SHARDS.length())), item);
    }
  }

  public static NodeRecord nodeRecord(KeyValue item) {
    return new NodeRecord(new LeaseId(item.value().path("hold").asLong()), item.revision());
  }

  private static boolean hasHold(KeyValue item) {
    return item.value().path("hold").canConvertToLong();
  }

  private void applyGrant(ShardId shard, Optional<KeyValue> item) {
    unreadableGrants.remove(shard);
    Optional<KeyValue> readable = item.filter(found -> found.value().path("holder").isTextual());
    if (item.isPresent() && readable.isEmpty()) {
      LOG.warn("{}: this build can't read who holds it", item.get().key());
      unreadableGrants.add(shard);
    }
    set(
        grants,
        shard,
        readable.map(
            found ->
                new GrantRecord(
                    new NodeId(found.value().path("holder").asText()), found.revision())));
  }

  private void applyShard(ShardId shard, Optional<KeyValue> item) {
    ShardRecord old = shards.get(shard);
    Optional<ShardRecord> record = Optional.empty();
    unreadableShards.remove(shard);
    if (item.isPresent()) {
      try {
        record = Optional.of(ShardRecord.read(item.get()));
      } catch (MalformedMessageException e) {
        LOG.warn("{}: this build can't read it: {}", item.get().key(), e.getMessage());
        unreadableShards.add(shard);
        // Whose machines they were is better than nothing for a worker that asks where to go.
        shards.remove(shard);
        return;
      }
    }
    if (old != null) {
      old.machines().keySet().forEach(machine -> shardOf.remove(machine, shard));
    }
    set(shards, shard, record);
    record.ifPresent(
        found -> found.machines().keySet().forEach(machine -> shardOf.put(machine, shard)));
  }

  private static <K, V> void set(Map<K, V> map, K key, Optional<V> value) {
    if (value.isPresent()) {
      map.put(key, value.get());
    } else {
      map.remove(key);
    }
  }

  public Optional<LeaderRecord> leader() {
    return leader;
  }

  public Map<NodeId, NodeRecord> nodes() {
    return nodes;
  }

  public Map<ShardId, GrantRecord> grants() {
    return grants;
  }

  public Map<ShardId, ShardRecord> shards() {
    return shards;
  }

  /** Which build each controller has shown; those before this was kept have shown none. */
  public Map<NodeId, Integer> featureLevels() {
    return featureLevels;
  }

  /** Shards that stand in the store in a form that this build can't read; not its to judge. */
  public Set<ShardId> unreadableShards() {
    return unreadableShards;
  }

  /** Shards that somebody holds, but this build can't read who. */
  public Set<ShardId> unreadableGrants() {
    return unreadableGrants;
  }

  public Optional<ShardId> shardOf(MachineId machine) {
    return Optional.ofNullable(shardOf.get(machine));
  }
}
