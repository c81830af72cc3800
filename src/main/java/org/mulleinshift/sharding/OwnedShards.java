package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.GrantRecord;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The shards that this node holds; sends workers of other shards to their owners. */
public final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final Duration REPORT_SPACING = Duration.ofMillis(80);
  private static final Duration REPORT_AT_LEAST = Duration.ofSeconds(1);

  private static final Duration SUSPICION_BATCHING = Duration.ofMillis(400);
  private static final Duration PROBE_DEADLINE = Duration.ofMillis(1200);
  private static final int MAX_PROBES = 64;

  /** What the desk asks of the other controllers. */
  public record Peers(
      List<NodeId> nodes, Predicate<NodeId> answersWorkers, Runnable sendHeartbeat) {}

  private final EventLoop loop;
  private final NodeId self;
  private final ClusterView view;
  private final ControllerSession session;
  private final ShardOwner.Context context;
  private final Peers peers;
  private final Consumer<Object> toLeader;
  private final Map<ShardId, ShardOwner> owned = new HashMap<>();
  private final Set<MachineId> probing = new HashSet<>();
  private final Map<ShardId, Set<MachineId>> suspect = new HashMap<>();
  private final WorkerReachability workers;
  private boolean reportPlanned;
  private long malformedHeartbeats;

  public OwnedShards(
      NodeId self,
      ClusterView view,
      ControllerSession session,
      ShardOwner.Context context,
      Peers peers,
      Consumer<Object> toLeader) {
    this.loop = context.loop();
    this.self = self;
    this.view = view;
    this.session = session;
    this.context = context;
    this.peers = peers;
    this.toLeader = toLeader;
    this.workers =
        new WorkerReachability(
            loop,
            context.timing().reportInterval(),
            new WorkerReachability.Parts(
                context.workers(), this::count, this::addresses, peers.sendHeartbeat()));
  }

  public void start() {
    workers.start();
    loop.after(TICK, this::tick);
    loop.after(REPORT_AT_LEAST, this::reportStatusPeriodically);
  }

  private void tick() {
    loop.after(TICK, this::tick);
    if (!owned.isEmpty()) {
      session.logOwnershipChange();
    }
    owned.values().forEach(ShardOwner::tick);
  }

  /**
   * Shards that this node may no longer act for say nothing: their machines may have gone to
   * others.
   */
  private WorkerReachability.Count count() {
    int known = 0;
    int silent = 0;
    for (ShardOwner owner : owned.values()) {
      if (owner.mayAct()) {
        known += owner.knownMachines();
        silent += owner.silentMachines();
      }
    }
    return new WorkerReachability.Count(known, silent);
  }

  private List<InetSocketAddress> addresses() {
    return owned.values().stream().flatMap(owner -> owner.addresses().stream()).toList();
  }

  public WorkerReachability.State reachability() {
    return workers.state();
  }

  private void reportStatusPeriodically() {
    loop.after(REPORT_AT_LEAST, this::reportStatusPeriodically);
    owned.values().forEach(owner -> toLeader.accept(owner.statusReporter().periodicStatus()));
  }

  /** Something that the leader should know; several changes share a report. */
  public void reportStatusSoon() {
    if (!reportPlanned) {
      reportPlanned = true;
      loop.after(
          REPORT_SPACING,
          () -> {
            reportPlanned = false;
            sendReports();
          });
    }
  }

  private void sendReports() {
    for (ShardOwner owner : owned.values()) {
      if (owner.statusReporter().hasUnsentChanges()) {
        toLeader.accept(owner.statusReporter().incrementalStatus());
      }
    }
  }

  /** Takes up and gives up shards as the store says. */
  public void onControlChange() {
    Map<ShardId, Revision> verified = session.grants();
    owned
        .entrySet()
        .removeIf(
            entry -> {
              boolean lost = !entry.getValue().grant().equals(verified.get(entry.getKey()));
              if (lost) {
                LOG.info("block {} given up", entry.getKey());
              }
              return lost;
            });
    for (Map.Entry<ShardId, GrantRecord> entry : view.grants().entrySet()) {
      ShardId shard = entry.getKey();
      GrantRecord grant = entry.getValue();
      // Both the reading and the watch must show the grant: the watch then also shows the shard's
      // machines as of the grant or later.
      if (grant.owner().equals(self)
          && grant.revision().equals(verified.get(shard))
          && !owned.containsKey(shard)) {
        LOG.info("block {} taken, grant {}", shard, grant.revision());
        Revision revision = grant.revision();
        owned.put(
            shard,
            new ShardOwner(context, shard, revision, () -> session.mayActFor(shard, revision)));
      }
    }
    owned.forEach(
        (shard, owner) -> Optional.ofNullable(view.shards().get(shard)).ifPresent(owner::onRecord));
  }

  public void onAssignment(ShardAssignment assignment) {
    ShardOwner owner = owned.get(new ShardId(assignment.getShard()));
    if (owner != null) {
      owner.onAssignment(assignment);
    }
  }

  public void onStatusAck(ShardStatusAck seen) {
    ShardOwner owner = owned.get(new ShardId(seen.getShard()));
    if (owner != null) {
      owner.onStatusAck(seen);
    }
  }

  public void onProcessPause() {
    workers.stoodStill();
    owned.values().forEach(ShardOwner::onProcessPause);
  }

  public void onCancelled(JobId job) {
    owned.values().forEach(owner -> owner.onCancelled(job));
  }

  public void onHeartbeat(String body, Responder responder) {
    WorkerHeartbeat report;
    try {
      report = WorkerCodec.parseHeartbeat(body);
    } catch (MalformedMessageException e) {
      if (malformedHeartbeats++ % 100 == 0) {
        LOG.warn("malformed report: {}", e.getMessage());
      }
      responder.respond(400, JobCodec.error(e.getMessage()));
      return;
    }
    workers.reported();
    Optional<ShardId> shard = view.shardOf(report.machine());
    if (shard.isEmpty()) {
      probe(
          report,
          () ->
              toLeader.accept(
                  new UnknownWorkerReport(
                      report.machine().value(),
                      report.address(),
                      report.type().value(),
                      report.zone().value(),
                      report.spot())));
      responder.respond(421, "{}");
      return;
    }
    ShardOwner owner = owned.get(shard.get());
    if (owner != null) {
      Optional<String> answer = owner.onHeartbeat(report);
      if (answer.isPresent()) {
        responder.respond(200, answer.get());
      } else {
        responder.respond(503, JobCodec.error("not entitled"));
      }
      return;
    }
    GrantRecord grant = view.grants().get(shard.get());
    Optional<NodeId> next = Optional.empty();
    if (grant != null && !grant.owner().equals(self)) {
      if (peers.answersWorkers().test(grant.owner())) {
        next = Optional.of(grant.owner());
      } else {
        probe(report, () -> suspect(shard.get(), report.machine()));
        next = redirectAround(grant.owner());
      }
    }
    responder.respond(421, next.map(WorkerCodec::redirect).orElse("{}"));
  }

  /**
   * A worker that is sent nowhere tries the next controller by itself. Where that is the very one
   * that does not answer it, the one after is named: each attempt there costs a third of its lease.
   */
  private Optional<NodeId> redirectAround(NodeId silent) {
    List<NodeId> all = new ArrayList<>(peers.nodes());
    all.add(self);
    all.sort(Comparator.comparing(NodeId::value));
    int own = all.indexOf(self);
    if (!all.get((own + 1) % all.size()).equals(silent)) {
      return Optional.empty();
    }
    NodeId after = all.get((own + 2) % all.size());
    return Optional.of(after)
        .filter(node -> !node.equals(self) && peers.answersWorkers().test(node));
  }

  /**
   * The report of a machine that nobody knows, or that its owner does not answer, may be a late
   * copy, and the machine long gone: only one that can be asked is there.
   */
  private void probe(WorkerHeartbeat report, Runnable ifThere) {
    Optional<InetSocketAddress> address = WorkerAddress.parse(report.address());
    if (address.isEmpty() || probing.size() >= MAX_PROBES || !probing.add(report.machine())) {
      return;
    }
    context
        .workers()
        .call(
            address.get(),
            HttpRequest.get(WorkerCodec.STATUS, PROBE_DEADLINE),
            reply -> {
              probing.remove(report.machine());
              if (reply.ok()) {
                ifThere.run();
              }
            });
  }

  /** The leader hears of machines whose owner does not answer them; several share a message. */
  private void suspect(ShardId shard, MachineId machine) {
    if (suspect.isEmpty()) {
      loop.after(SUSPICION_BATCHING, this::sendSuspicions);
    }
    suspect.computeIfAbsent(shard, key -> new TreeSet<>()).add(machine);
  }

  private void sendSuspicions() {
    suspect.forEach(
        (shard, machines) -> {
          GrantRecord grant = view.grants().get(shard);
          if (grant != null) {
            toLeader.accept(
                new OwnerSuspicion(
                    shard.value(),
                    grant.revision().value(),
                    machines.stream().map(MachineId::value).toList()));
          }
        });
    suspect.clear();
  }
}
