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

/** The blocks that this node holds; sends workers of other blocks to their holders. */
public final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final Duration REPORT_SPACING = Duration.ofMillis(80);
  private static final Duration REPORT_AT_LEAST = Duration.ofSeconds(1);

  private static final Duration KNOCKS = Duration.ofMillis(400);
  private static final Duration ASK_DEADLINE = Duration.ofMillis(1200);
  private static final int MOST_ASKED = 64;

  /** What the desk asks of the other controllers. */
  public record Peers(List<NodeId> nodes, Predicate<NodeId> answersWorkers, Runnable beat) {}

  private final EventLoop loop;
  private final NodeId self;
  private final ClusterView view;
  private final ControllerSession session;
  private final ShardOwner.Surroundings around;
  private final Peers peers;
  private final Consumer<Object> toLeader;
  private final Map<ShardId, ShardOwner> held = new HashMap<>();
  private final Set<MachineId> asked = new HashSet<>();
  private final Map<ShardId, Set<MachineId>> knocked = new HashMap<>();
  private final WorkerReachability workers;
  private boolean reportPlanned;
  private long badReports;

  public OwnedShards(
      NodeId self,
      ClusterView view,
      ControllerSession session,
      ShardOwner.Surroundings around,
      Peers peers,
      Consumer<Object> toLeader) {
    this.loop = around.loop();
    this.self = self;
    this.view = view;
    this.session = session;
    this.around = around;
    this.peers = peers;
    this.toLeader = toLeader;
    this.workers =
        new WorkerReachability(
            loop,
            around.timing().report(),
            new WorkerReachability.Parts(
                around.workers(), this::count, this::addresses, peers.beat()));
  }

  public void start() {
    workers.start();
    loop.after(TICK, this::tick);
    loop.after(REPORT_AT_LEAST, this::reportRegularly);
  }

  private void tick() {
    loop.after(TICK, this::tick);
    if (!held.isEmpty()) {
      session.tellRight();
    }
    held.values().forEach(ShardOwner::tick);
  }

  /**
   * Blocks that this node may no longer act for say nothing: their machines may have gone to
   * others.
   */
  private WorkerReachability.Count count() {
    int known = 0;
    int silent = 0;
    for (ShardOwner holder : held.values()) {
      if (holder.entitled()) {
        known += holder.knownMachines();
        silent += holder.silentMachines();
      }
    }
    return new WorkerReachability.Count(known, silent);
  }

  private List<InetSocketAddress> addresses() {
    return held.values().stream().flatMap(holder -> holder.addresses().stream()).toList();
  }

  public WorkerReachability.State hearing() {
    return workers.state();
  }

  private void reportRegularly() {
    loop.after(REPORT_AT_LEAST, this::reportRegularly);
    held.values().forEach(holder -> toLeader.accept(holder.reports().regularReport()));
  }

  /** Something that the leader should know; several changes share a report. */
  public void reportSoon() {
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
    for (ShardOwner holder : held.values()) {
      if (holder.reports().hasNews()) {
        toLeader.accept(holder.reports().newsReport());
      }
    }
  }

  /** Takes up and gives up blocks as the store says. */
  public void onControlChange() {
    Map<ShardId, Revision> verified = session.grants();
    held.entrySet()
        .removeIf(
            entry -> {
              boolean lost = !entry.getValue().grant().equals(verified.get(entry.getKey()));
              if (lost) {
                LOG.info("block {} given up", entry.getKey());
              }
              return lost;
            });
    for (Map.Entry<ShardId, GrantRecord> entry : view.grants().entrySet()) {
      ShardId block = entry.getKey();
      GrantRecord grant = entry.getValue();
      // Both the reading and the watch must show the grant: the watch then also shows the block's
      // machines as of the grant or later.
      if (grant.holder().equals(self)
          && grant.revision().equals(verified.get(block))
          && !held.containsKey(block)) {
        LOG.info("block {} taken, grant {}", block, grant.revision());
        Revision revision = grant.revision();
        held.put(
            block,
            new ShardOwner(around, block, revision, () -> session.entitled(block, revision)));
      }
    }
    held.forEach(
        (block, holder) ->
            Optional.ofNullable(view.blocks().get(block)).ifPresent(holder::onRecord));
  }

  public void onAssignment(ShardAssignment assignment) {
    ShardOwner holder = held.get(new ShardId(assignment.getBlock()));
    if (holder != null) {
      holder.onAssignment(assignment);
    }
  }

  public void onReportsSeen(ShardStatusAck seen) {
    ShardOwner holder = held.get(new ShardId(seen.getBlock()));
    if (holder != null) {
      holder.onReportsSeen(seen);
    }
  }

  public void stoodStill() {
    workers.stoodStill();
    held.values().forEach(ShardOwner::stoodStill);
  }

  public void onCancelled(JobId job) {
    held.values().forEach(holder -> holder.onCancelled(job));
  }

  public void checkin(String body, Responder responder) {
    WorkerHeartbeat report;
    try {
      report = WorkerCodec.parseReport(body);
    } catch (MalformedMessageException e) {
      if (badReports++ % 100 == 0) {
        LOG.warn("malformed report: {}", e.getMessage());
      }
      responder.respond(400, JobCodec.error(e.getMessage()));
      return;
    }
    workers.reported();
    Optional<ShardId> block = view.blockOf(report.machine());
    if (block.isEmpty()) {
      ask(
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
    ShardOwner holder = held.get(block.get());
    if (holder != null) {
      Optional<String> answer = holder.onReport(report);
      if (answer.isPresent()) {
        responder.respond(200, answer.get());
      } else {
        responder.respond(503, JobCodec.error("not entitled"));
      }
      return;
    }
    GrantRecord grant = view.grants().get(block.get());
    Optional<NodeId> next = Optional.empty();
    if (grant != null && !grant.holder().equals(self)) {
      if (peers.answersWorkers().test(grant.holder())) {
        next = Optional.of(grant.holder());
      } else {
        ask(report, () -> knocked(block.get(), report.machine()));
        next = detour(grant.holder());
      }
    }
    responder.respond(421, next.map(WorkerCodec::redirect).orElse("{}"));
  }

  /**
   * A worker that is sent nowhere tries the next controller by itself. Where that is the very one
   * that does not answer it, the one after is named: each attempt there costs a third of its lease.
   */
  private Optional<NodeId> detour(NodeId silent) {
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
   * The report of a machine that nobody knows, or that its holder does not answer, may be a late
   * copy, and the machine long gone: only one that can be asked is there.
   */
  private void ask(WorkerHeartbeat report, Runnable ifThere) {
    Optional<InetSocketAddress> address = WorkerAddress.parse(report.address());
    if (address.isEmpty() || asked.size() >= MOST_ASKED || !asked.add(report.machine())) {
      return;
    }
    around
        .workers()
        .call(
            address.get(),
            HttpRequest.get(WorkerCodec.STATUS, ASK_DEADLINE),
            reply -> {
              asked.remove(report.machine());
              if (reply.ok()) {
                ifThere.run();
              }
            });
  }

  /** The leader hears of machines whose holder does not answer them; several share a message. */
  private void knocked(ShardId block, MachineId machine) {
    if (knocked.isEmpty()) {
      loop.after(KNOCKS, this::sendKnocks);
    }
    knocked.computeIfAbsent(block, key -> new TreeSet<>()).add(machine);
  }

  private void sendKnocks() {
    knocked.forEach(
        (block, machines) -> {
          GrantRecord grant = view.grants().get(block);
          if (grant != null) {
            toLeader.accept(
                new OwnerSuspicion(
                    block.value(),
                    grant.revision().value(),
                    machines.stream().map(MachineId::value).toList()));
          }
        });
    knocked.clear();
  }
}
