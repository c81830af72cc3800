package org.mulleinshift.controller;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.api.JobApi;
import org.mulleinshift.api.ReadinessProbe;
import org.mulleinshift.autoscaling.Autoscaler;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.leader.EstimateReplicator;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.IndirectLeaseRenewal;
import org.mulleinshift.membership.LeaderElection;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.StandbyFailover;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.memory.HeapMonitor;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.LeadershipTransfer;
import org.mulleinshift.protocol.peer.LearnedEstimates;
import org.mulleinshift.protocol.peer.LeaseRenewalRequest;
import org.mulleinshift.protocol.peer.LeaseRenewalResponse;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.PeerFrame;
import org.mulleinshift.protocol.peer.RelayedFrame;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.settings.Leases;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.sharding.OwnedShards;
import org.mulleinshift.sharding.ShardOwner;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.WatchCache;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.mulleinshift.transport.PeerTransport;
import org.mulleinshift.transport.RateLimiter;
import org.mulleinshift.transport.RequestHandler;
import org.mulleinshift.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: joins the parts and sends each message to the one that it concerns. */
public final class Controller implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);

  /** A leader that falls silent is missed soon. */
  private static final Duration LEADER_HEARTBEAT = Duration.ofMillis(300);

  /** Larger frames are left to the way that heals: what they say is said again in parts. */
  private static final int MAX_RELAYED = 1 << 18;

  /** The ways out of the process. */
  public record Outside(
      EventLoop loop,
      AsyncHttpClient state,
      AsyncHttpClient watches,
      AsyncHttpClient cloud,
      AsyncHttpClient workers,
      PeerTransport peers,
      HeapMonitor margin) {}

  private final EventLoop loop;
  private final PlatformSettings settings;
  private final Tunables tunables;
  private final NodeId self;
  private final PeerTransport peers;
  private final HeapMonitor margin;
  private final PeerCodec codec = new PeerCodec();
  private final StoreRateLimits rates;
  private final KeyValueStore store;
  private final ClusterView view = new ClusterView();
  private final WatchCache control;
  private final WatchCache jobs;
  private final Set<JobId> cancelled = new HashSet<>();
  private final PeerFailureDetector links;
  private final StoreHealth stateLink;
  private final IndirectLeaseRenewal proofs;
  private final StandbyFailover succession;
  private final Map<NodeId, List<Object>> outbox = new HashMap<>();
  private final ControllerSession session;
  private final LeaderElection election;
  private final FeatureGates builds;
  private final MachineTypeCatalog catalog;
  private final OwnedShards heldShards;
  private final JobApi frontend;
  private final RunTimeEstimator runTimes = new RunTimeEstimator();
  private final EstimateReplicator advice;
  private final Autoscaler.Cloud cloud;
  private final List<NodeId> otherZoneFirst = new ArrayList<>();
  private final ReadinessProbe readiness;
  private Optional<Leader> leader = Optional.empty();
  private boolean jobsKnown;
  private long badFrames;

  public Controller(PlatformSettings settings, Tunables tunables, Outside ports) {
    this.loop = ports.loop();
    this.settings = settings;
    this.tunables = tunables;
    this.self = new NodeId(settings.label());
    this.advice = new EstimateReplicator(loop, runTimes);
    this.peers = ports.peers();
    settings.members().stream()
        .sorted(Comparator.comparing(member -> member.zone().equals(settings.zone())))
        .forEach(member -> otherZoneFirst.add(new NodeId(member.label())));
    this.margin = ports.margin();
    PlatformSettings.Cluster cluster = settings.cluster();
    this.rates = new StoreRateLimits(cluster);
    this.store =
        new KeyValueStore(
            loop,
            ports.state(),
            ports.watches(),
            settings.state(),
            new KeyValueStore.Rates(
                rates.requests(),
                rates.writes(false),
                cluster.state().requestsLeft(),
                cluster.state().writesLeft()));
    Duration spacing = rates.watchSpacing();
    this.control = new WatchCache(loop, store, StoreKeys.CONTROL, spacing, new ControlListener());
    this.jobs = new WatchCache(loop, store, StoreKeys.ACTIVE, spacing, new JobListener());
    this.readiness = new ReadinessProbe(loop, this::ready);
    this.links = new PeerFailureDetector(loop, self);
    this.stateLink =
        new StoreHealth(
            loop,
            tunables.seconds(Tunables.Key.STATE_LOST_S),
            rates.probeSpacing(),
            this::probe,
            new StateLinkListener());
    store.tell(stateLink);
    Duration shardLease = Leases.shard(cluster.workers(), tunables);
    this.session =
        new ControllerSession(
            loop,
            store,
            self,
            shardLease,
            shorter(tunables.seconds(Tunables.Key.RENEW_S), shardLease.dividedBy(5)),
            jobs::provePromptly,
            this::onSessionChange);
    this.election =
        new LeaderElection(
            loop,
            store,
            self,
            tunables.seconds(Tunables.Key.LEADER_LEASE_S),
            new ElectionListener(),
            this::yields);
    this.succession =
        new StandbyFailover(
            loop,
            self,
            tunables.seconds(Tunables.Key.LEADER_SILENT_S),
            tunables.seconds(Tunables.Key.LEADER_LEASE_S),
            new StandbyFailover.Parts(
                links, view, this::linksWell, () -> beat(true), this::depose));
    this.proofs =
        new IndirectLeaseRenewal(
            loop,
            self,
            new IndirectLeaseRenewal.Parts(store, stateLink, links, session, view, control, jobs),
            this::send);
    this.catalog =
        new MachineTypeCatalog(loop, ports.cloud(), settings.cloud(), this::onSessionChange);
    this.heldShards =
        new OwnedShards(
            self,
            view,
            session,
            new ShardOwner.Surroundings(
                loop,
                ports.workers(),
                catalog,
                cluster.workers(),
                shardLease,
                cancelled::contains,
                this::onShardNews),
            new OwnedShards.Peers(
                settings.members().stream().map(m -> new NodeId(m.label())).toList(),
                this::answersWorkers,
                this::onWorkerLink),
            this::toLeader);
    List<NodeId> all = new ArrayList<>(List.of(self));
    settings.members().forEach(member -> all.add(new NodeId(member.label())));
    this.builds = new FeatureGates(loop, store, self, all, view);
    this.frontend =
        new JobApi(
            loop,
            store,
            catalog,
            cluster,
            tunables.count(Tunables.Key.RETRY_AFTER_S),
            jobs::prove,
            ports.margin()::pressure,
            this::onCancelled);
    this.cloud =
        new Autoscaler.Cloud(
            ports.cloud(),
            settings.cloud(),
            new RateLimiter(loop, cluster.cloudLimits().requestsPerSecond() * 0.6));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  public void start() {
    margin.start();
    stateLink.start();
    session.start();
    builds.start();
    control.start();
    jobs.start();
    catalog.start();
    heldShards.start();
    succession.start();
    loop.onStandstill(this::stoodStill);
    beatRegularly();
  }

  @Override
  public void handle(String method, String path, String body, Responder responder) {
    if (path.equals(WorkerCodec.CHECKIN)) {
      if (only("POST", method, responder)) {
        heldShards.checkin(body, responder);
      }
    } else if (path.equals(JobCodec.RUNS)) {
      if (only("POST", method, responder)) {
        frontend.submit(body, responder);
      }
    } else if (path.startsWith(JobCodec.RUNS + "/")) {
      handleJob(method, path.substring(JobCodec.RUNS.length() + 1), responder);
    } else if (path.equals("/ready")) {
      if (only("GET", method, responder)) {
        readiness.answer(responder);
      }
    } else {
      responder.respond(404, JobCodec.error("no such path"));
    }
  }

  private void handleJob(String method, String rest, Responder responder) {
    int slash = rest.indexOf('/');
    JobId job = new JobId(slash < 0 ? rest : rest.substring(0, slash));
    if (slash < 0) {
      if (only("GET", method, responder)) {
        frontend.poll(job, responder);
      }
    } else if (rest.substring(slash).equals("/withdraw")) {
      if (only("POST", method, responder)) {
        frontend.withdraw(job, responder);
      }
    } else {
      responder.respond(404, JobCodec.error("no such path"));
    }
  }

  private static boolean only(String wanted, String method, Responder responder) {
    if (wanted.equals(method)) {
      return true;
    }
    responder.respond(405, JobCodec.error("method not allowed"));
    return false;
  }

  /** Not ready while only this node is without the state service: others can do better. */
  private boolean ready() {
    boolean started =
        session.state() == ControllerSession.State.HELD && jobsKnown && catalog.known();
    return started && stateLink.state() != StoreHealth.State.LOST;
  }

  /** How a controller stands to its workers, by its own word. */
  private WorkerReachability.State hearing(NodeId node) {
    if (node.equals(self)) {
      return heldShards.hearing();
    }
    return links.word(node).map(PeerFailureDetector::workers).orElse(WorkerReachability.State.WELL);
  }

  private boolean storeLost(NodeId node) {
    return node.equals(self)
        ? stateLink.state() == StoreHealth.State.LOST
        : links.word(node).filter(Heartbeat::getStoreLost).isPresent();
  }

  /** Whether workers should be sent there: not to one that is silent, or cannot hear them. */
  private boolean answersWorkers(NodeId node) {
    return links.silence(node).compareTo(PeerFailureDetector.FRESH) < 0
        && hearing(node).compareTo(WorkerReachability.State.DOUBTED) <= 0;
  }

  private void beatRegularly() {
    loop.after(election.leading() ? LEADER_HEARTBEAT : HEARTBEAT, this::beatRegularly);
    beat();
  }

  private void onWorkerLink() {
    LOG.info("links: {}", links.describe());
    beat();
  }

  private void beat() {
    beat(false);
  }

  private void beat(boolean answerSoon) {
    boolean served = stateLink.state() == StoreHealth.State.SERVED;
    Optional<ClusterView.LeaderRecord> seen = served ? view.leader() : Optional.empty();
    Heartbeat beat =
        new Heartbeat(
            session.hold().map(hold -> hold.value()).orElse(0L),
            stateLink.silence().toMillis(),
            stateLink.state() == StoreHealth.State.LOST,
            heldShards.hearing().wireName(),
            seen.map(record -> record.node().value()).orElse(""),
            seen.map(record -> record.term().value()).orElse(0L),
            election.leading() ? succession.choose(otherZoneFirst) : "",
            answerSoon,
            links.heardList());
    settings.members().forEach(member -> send(new NodeId(member.label()), beat));
  }

  private boolean linksWell() {
    return stateLink.state() == StoreHealth.State.SERVED
        && heldShards.hearing() == WorkerReachability.State.WELL
        && control.state() == WatchCache.State.WATCHING;
  }

  /** The leader is gone: its lease need not end by itself, every write of its term demands it. */
  private void depose(LeaderElection.Standing gone) {
    election.onResignation(gone, true, view);
  }

  private Duration yields() {
    return succession.yields();
  }

  /** A call whose answer tells how the link to the state service is. */
  private void probe() {
    store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> {});
  }

  private void onBeat(NodeId sender, Heartbeat beat) {
    links.beat(sender, beat);
    if (beat.getReplyImmediately()) {
      // What the sender asks is whether the service answers anybody just now.
      store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> beat());
    }
    leaderByPeers()
        .filter(record -> !record.node().equals(self))
        .filter(record -> election.standing().filter(own -> later(record, own)).isPresent())
        .ifPresent(record -> election.resign("a peer sees another leader"));
  }

  private static boolean later(ClusterView.LeaderRecord record, LeaderElection.Standing own) {
    return record.term().compareTo(own.term()) > 0;
  }

  /** Of a controller that cannot see for itself who leads, its served peers' word counts. */
  private Optional<ClusterView.LeaderRecord> leaderByPeers() {
    return stateLink.state() == StoreHealth.State.SERVED ? Optional.empty() : links.leaderByPeers();
  }

  /** The newest leader by the own view or by peers. */
  private Optional<ClusterView.LeaderRecord> knownLeader() {
    Optional<ClusterView.LeaderRecord> seen = view.leader();
    Optional<ClusterView.LeaderRecord> told = leaderByPeers();
    boolean newer =
        told.isPresent() && (seen.isEmpty() || told.get().term().compareTo(seen.get().term()) > 0);
    return newer ? told : seen;
  }

  /**
   * This process stood still while the clocks ran on. What it has not heard since says nothing of
   * the others; whatever else was fresh before is checked by the clock where it is acted on.
   */
  private void stoodStill(Duration gap) {
    LOG.warn("stood still for {} ms", gap.toMillis());
    links.stoodStill();
    heldShards.stoodStill();
  }

  private void send(NodeId node, Object body) {
    if (node.equals(self)) {
      deliver(self, body);
    } else {
      // What one step has to say to a peer goes in one frame.
      List<Object> waiting = outbox.computeIfAbsent(node, key -> new ArrayList<>());
      waiting.add(body);
      if (waiting.size() == 1) {
        loop.post(() -> flush(node));
      }
    }
  }

  private void flush(NodeId node) {
    byte[] frame = codec.write(self, outbox.remove(node));
    peers.send(node.value(), frame);
    // Where the two don't hear each other a third that hears both brings it, at worst a second
    // time: every message can be repeated.
    if (frame.length <= MAX_RELAYED) {
      links
          .relayTo(node)
          .ifPresent(
              third ->
                  peers.send(
                      third.value(),
                      codec.write(
                          self, List.of(new RelayedFrame(node.value(), ByteBuffer.wrap(frame))))));
    }
  }

  /** A leader whose lease may be over takes no reports, not even its own. */
  private void toLeader(Object body) {
    if (leader.isPresent() && election.certain()) {
      deliver(self, body);
    } else {
      knownLeader()
          .filter(record -> !record.node().equals(self))
          .ifPresent(record -> send(record.node(), body));
    }
  }

  /** A frame from a peer. */
  public void onFrame(byte[] frame) {
    onFrame(frame, true);
  }

  private void onFrame(byte[] frame, boolean direct) {
    try {
      PeerFrame message = codec.read(frame);
      NodeId sender = new NodeId(message.getSender());
      boolean known = settings.members().stream().anyMatch(m -> m.label().equals(sender.value()));
      if (!known) {
        throw new MalformedMessageException("unknown sender");
      }
      links.heard(sender, direct);
      message.getBodies().forEach(body -> deliver(sender, body));
    } catch (MalformedMessageException e) {
      if (badFrames++ % 100 == 0) {
        LOG.warn("peer frame: {}", e.getMessage());
      }
    }
  }

  /** Brought to us, or to be brought on; never further than one step. */
  private void onRelay(RelayedFrame relay) {
    byte[] frame = new byte[relay.getFrame().remaining()];
    relay.getFrame().duplicate().get(frame);
    if (relay.getReceiver().equals(self.value())) {
      onFrame(frame, false);
    } else if (settings.members().stream().anyMatch(m -> m.label().equals(relay.getReceiver()))) {
      peers.send(
          relay.getReceiver(),
          codec.write(self, List.of(new RelayedFrame(relay.getReceiver(), relay.getFrame()))));
    }
  }

  private void deliver(NodeId sender, Object body) {
    if (body instanceof Heartbeat beat) {
      onBeat(sender, beat);
    } else if (body instanceof ShardAssignment assignment) {
      heldShards.onAssignment(assignment);
    } else if (body instanceof ShardStatus report) {
      leader.ifPresent(term -> term.onShardReport(report));
    } else if (body instanceof ShardStatusAck seen) {
      heldShards.onReportsSeen(seen);
    } else if (body instanceof UnknownWorkerReport report) {
      leader.ifPresent(term -> term.onStranger(report));
    } else if (body instanceof OwnerSuspicion suspicion) {
      leader.ifPresent(term -> term.onSuspicion(suspicion));
    } else if (body instanceof JobSummary digest) {
      frontend.onDigest(digest);
    } else if (body instanceof RelayedFrame relay) {
      onRelay(relay);
    } else if (body instanceof LearnedEstimates told) {
      advice.onAdvice(told);
    } else if (body instanceof LeaseRenewalRequest request) {
      proofs.onRequest(sender, request);
    } else if (body instanceof LeaseRenewalResponse answer) {
      proofs.onAnswer(sender, answer);
    } else if (body instanceof LeadershipTransfer resignation) {
      onResignation(resignation);
    }
  }

  /** A leader that lost the state service asks the best placed peer to lead. */
  private void resign() {
    Optional<LeaderElection.Standing> standing = election.standing();
    List<NodeId> served = links.servedPeers();
    if (standing.isEmpty() || served.isEmpty()) {
      return;
    }
    LeadershipTransfer resignation =
        new LeadershipTransfer(
            standing.get().term().value(), standing.get().hold().value(), served.get(0).value());
    LOG.warn("term {} given up, {} is to lead", standing.get().term(), served.get(0));
    election.resign("the state service is lost");
    settings.members().forEach(member -> send(new NodeId(member.label()), resignation));
  }

  private void onResignation(LeadershipTransfer resignation) {
    if (stateLink.state() == StoreHealth.State.SERVED) {
      election.onResignation(
          new LeaderElection.Standing(
              new Revision(resignation.getTerm()), new LeaseId(resignation.getLease())),
          resignation.getSuccessor().equals(self.value()),
          view);
    }
  }

  private void onSessionChange() {
    if (heldShards != null) {
      heldShards.onControlChange();
      observeElection();
    }
  }

  private void observeElection() {
    boolean ready =
        session.state() == ControllerSession.State.HELD
            && stateLink.state() == StoreHealth.State.SERVED
            && control.state() == WatchCache.State.WATCHING
            && jobsKnown
            && catalog.known();
    election.observe(view, ready);
  }

  private void onShardNews() {
    heldShards.reportSoon();
  }

  private void onCancelled(JobId job) {
    if (cancelled.add(job)) {
      heldShards.onCancelled(job);
    }
  }

  private final class StateLinkListener implements StoreHealth.Listener {
    @Override
    public void doubted() {
      beat(true);
    }

    @Override
    public boolean peerServedSince(MonotonicTime moment) {
      return links.anyServedSince(moment);
    }

    @Override
    public void changed(StoreHealth.State next) {
      LOG.info("links: {}", links.describe());
      beat();
      if (next == StoreHealth.State.LOST) {
        resign();
        proofs.start();
      }
      observeElection();
    }
  }

  private final class ControlListener implements WatchCache.Listener {
    private boolean grantsChanged;

    @Override
    public void changed(String key, Optional<Item> item) {
      view.apply(key, item);
      grantsChanged |= key.startsWith(StoreKeys.GRANTS);
    }

    @Override
    public void settled(Revision revision) {
      if (grantsChanged) {
        grantsChanged = false;
        session.verifySoon();
      }
      heldShards.onControlChange();
      leader.ifPresent(Leader::onControlChange);
      observeElection();
    }
  }

  private final class JobListener implements WatchCache.Listener {
    @Override
    public void changed(String key, Optional<Item> item) {
      JobId id = new JobId(key.substring(StoreKeys.ACTIVE.length()));
      if (item.isEmpty()) {
        cancelled.remove(id);
        frontend.onNoLongerActive(id);
        return;
      }
      Optional<JobRecord> read = JobRecord.read(item.get());
      frontend.onActive(id, read);
      if (read.isEmpty()) {
        leader.ifPresent(term -> term.onUnreadable(id, item.get().value()));
      }
      read.ifPresent(
          record -> {
            if (record.cancelled()) {
              onCancelled(record.id());
            }
            leader.ifPresent(term -> term.onJob(record));
          });
    }

    @Override
    public void settled(Revision revision) {
      jobs.knownAsOf().ifPresent(session::cancellationsKnown);
      if (!jobsKnown) {
        jobsKnown = true;
        observeElection();
      }
    }
  }

  private final class ElectionListener implements LeaderElection.Listener {
    @Override
    public void won(Revision term) {
      Leader next =
          new Leader(
              new Leader.Surroundings(
                  loop,
                  store,
                  settings,
                  tunables,
                  self,
                  view,
                  catalog,
                  runTimes,
                  advice,
                  builds,
                  succession::named,
                  links::silence,
                  Controller.this::hearing,
                  Controller.this::storeLost,
                  Controller.this::send,
                  election::certain,
                  () -> election.resign("another leader's term")),
              cloud,
              term);
      leader = Optional.of(next);
      store.writeRate(rates.writes(true));
      next.start();
    }

    @Override
    public void lost() {
      leader.ifPresent(Leader::retire);
      leader = Optional.empty();
      store.writeRate(rates.writes(false));
      loop.after(Duration.ofMillis(500), Controller.this::observeElection);
    }
  }
}
