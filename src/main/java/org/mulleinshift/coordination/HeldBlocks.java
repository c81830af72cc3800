package org.mulleinshift.coordination;

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
import org.mulleinshift.bookkeeping.ControlView;
import org.mulleinshift.bookkeeping.ControlView.GrantRecord;
import org.mulleinshift.coordination.membership.Session;
import org.mulleinshift.coordination.membership.WorkerLink;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerReport;
import org.mulleinshift.protocol.peer.Assignment;
import org.mulleinshift.protocol.peer.Knock;
import org.mulleinshift.protocol.peer.ReportsSeen;
import org.mulleinshift.protocol.peer.StrangerReport;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The blocks that this node holds; sends workers of other blocks to their holders. */
final class HeldBlocks {
  private static final Logger LOG = LoggerFactory.getLogger(HeldBlocks.class);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final Duration REPORT_SPACING = Duration.ofMillis(80);
  private static final Duration REPORT_AT_LEAST = Duration.ofSeconds(1);

  private static final Duration KNOCKS = Duration.ofMillis(400);
  private static final Duration ASK_DEADLINE = Duration.ofMillis(1200);
  private static final int MOST_ASKED = 64;

  /** What the desk asks of the other controllers. */
  record Peers(List<NodeId> nodes, Predicate<NodeId> answersWorkers, Runnable beat) {}

  private final EventLoop loop;
  private final NodeId self;
  private final ControlView view;
  private final Session session;
  private final BlockHolder.Surroundings around;
  private final Peers peers;
  private final Consumer<Object> toLeader;
  private final Map<BlockId, BlockHolder> held = new HashMap<>();
  private final Set<MachineId> asked = new HashSet<>();
  private final Map<BlockId, Set<MachineId>> knocked = new HashMap<>();
  private final WorkerLink workers;
  private boolean reportPlanned;
  private long badReports;

  HeldBlocks(
      NodeId self,
      ControlView view,
      Session session,
      BlockHolder.Surroundings around,
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
        new WorkerLink(
            loop,
            around.timing().report(),
            new WorkerLink.Parts(around.workers(), this::count, this::addresses, peers.beat()));
  }

  void start() {
    workers.start();
    loop.after(TICK, this::tick);
    loop.after(REPORT_AT_LEAST, this::reportRegularly);
  }

  private void tick() {
    loop.after(TICK, this::tick);
    if (!held.isEmpty()) {
      session.tellRight();
    }
    held.values().forEach(BlockHolder::tick);
  }

  /**
   * Blocks that this node may no longer act for say nothing: their machines may have gone to
   * others.
   */
  private WorkerLink.Count count() {
    int known = 0;
    int silent = 0;
    for (BlockHolder holder : held.values()) {
      if (holder.entitled()) {
        known += holder.knownMachines();
        silent += holder.silentMachines();
      }
    }
    return new WorkerLink.Count(known, silent);
  }

  private List<InetSocketAddress> addresses() {
    return held.values().stream().flatMap(holder -> holder.addresses().stream()).toList();
  }

  WorkerLink.State hearing() {
    return workers.state();
  }

  private void reportRegularly() {
    loop.after(REPORT_AT_LEAST, this::reportRegularly);
    held.values().forEach(holder -> toLeader.accept(holder.reports().regularReport()));
  }

  /** Something that the leader should know; several changes share a report. */
  void reportSoon() {
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
    for (BlockHolder holder : held.values()) {
      if (holder.reports().hasNews()) {
        toLeader.accept(holder.reports().newsReport());
      }
    }
  }

  /** Takes up and gives up blocks as the store says. */
  void onControlChange() {
    Map<BlockId, Revision> verified = session.grants();
    held.entrySet()
        .removeIf(
            entry -> {
              boolean lost = !entry.getValue().grant().equals(verified.get(entry.getKey()));
              if (lost) {
                LOG.info("block {} given up", entry.getKey());
              }
              return lost;
            });
    for (Map.Entry<BlockId, GrantRecord> entry : view.grants().entrySet()) {
      BlockId block = entry.getKey();
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
            new BlockHolder(around, block, revision, () -> session.entitled(block, revision)));
      }
    }
    held.forEach(
        (block, holder) ->
            Optional.ofNullable(view.blocks().get(block)).ifPresent(holder::onRecord));
  }

  void onAssignment(Assignment assignment) {
    BlockHolder holder = held.get(new BlockId(assignment.getBlock()));
    if (holder != null) {
      holder.onAssignment(assignment);
    }
  }

  void onReportsSeen(ReportsSeen seen) {
    BlockHolder holder = held.get(new BlockId(seen.getBlock()));
    if (holder != null) {
      holder.onReportsSeen(seen);
    }
  }

  void stoodStill() {
    workers.stoodStill();
    held.values().forEach(BlockHolder::stoodStill);
  }

  void onCancelled(JobId job) {
    held.values().forEach(holder -> holder.onCancelled(job));
  }

  void checkin(String body, Responder responder) {
    WorkerReport report;
    try {
      report = WorkerCodec.parseReport(body);
    } catch (BadMessage e) {
      if (badReports++ % 100 == 0) {
        LOG.warn("malformed report: {}", e.getMessage());
      }
      responder.respond(400, JobCodec.error(e.getMessage()));
      return;
    }
    workers.reported();
    Optional<BlockId> block = view.blockOf(report.machine());
    if (block.isEmpty()) {
      ask(
          report,
          () ->
              toLeader.accept(
                  new StrangerReport(
                      report.machine().value(),
                      report.address(),
                      report.type().value(),
                      report.zone().value(),
                      report.spot())));
      responder.respond(421, "{}");
      return;
    }
    BlockHolder holder = held.get(block.get());
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
  private void ask(WorkerReport report, Runnable ifThere) {
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
  private void knocked(BlockId block, MachineId machine) {
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
                new Knock(
                    block.value(),
                    grant.revision().value(),
                    machines.stream().map(MachineId::value).toList()));
          }
        });
    knocked.clear();
  }
}
