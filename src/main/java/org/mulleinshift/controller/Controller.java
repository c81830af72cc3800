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
import org.mulleinshift.autoscaling.CloudClient;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.leader.EstimateReplicator;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.IndirectLeaseRenewal;
import org.mulleinshift.membership.LeaderElection;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.PeerMessenger;
import org.mulleinshift.membership.PeerStatus;
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
import org.mulleinshift.protocol.StoreCodec.KeyValue;
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
  public record Ports(
      EventLoop loop,
      AsyncHttpClient store,
      AsyncHttpClient watches,
      AsyncHttpClient cloud,
      AsyncHttpClient workers,
      PeerTransport peers,
      HeapMonitor heapMonitor) {}

  private final EventLoop loop;
  private final PlatformSettings settings;
  private final Tunables tunables;
  private final NodeId self;
  private final PeerTransport transport;
  private final HeapMonitor heapMonitor;
  private final PeerCodec codec = new PeerCodec();
  private final StoreRateLimits rateLimits;
  private final KeyValueStore store;
  private final ClusterView view = new ClusterView();
  private final WatchCache control;
  private final WatchCache jobs;
  private final Set<JobId> cancelled = new HashSet<>();
  private final PeerFailureDetector peers;
  private final StoreHealth storeHealth;
  private final IndirectLeaseRenewal indirectRenewal;
  private final StandbyFailover failover;
  private final Map<NodeId, List<Object>> outbox = new HashMap<>();
  private final ControllerSession session;
  private final LeaderElection election;
  private final FeatureGates featureGates;
  private final MachineTypeCatalog catalog;
  private final OwnedShards ownedShards;
  private final JobApi jobApi;
  private final RunTimeEstimator runTimes = new RunTimeEstimator();
  private final EstimateReplicator estimates;
  private final CloudClient cloud;
  private final List<NodeId> otherZoneFirst = new ArrayList<>();
  private final ReadinessProbe readiness;
  private Optional<Leader> leader = Optional.empty();
  private boolean jobsKnown;
  private long malformedFrames;

  public Controller(PlatformSettings settings, Tunables tunables, Ports ports) {
    this.loop = ports.loop();
    this.settings = settings;
    this.tunables = tunables;
    this.self = new NodeId(settings.label());
    this.estimates = new EstimateReplicator(loop, runTimes);
    this.transport = ports.peers();
    settings.members().stream()
        .sorted(Comparator.comparing(member -> member.zone().equals(settings.zone())))
        .forEach(member -> otherZoneFirst.add(new NodeId(member.label())));
    this.heapMonitor = ports.heapMonitor();
    PlatformSettings.Cluster cluster = settings.cluster();
    this.rateLimits = new StoreRateLimits(cluster);
    this.store =
        new KeyValueStore(
            loop,
            ports.store(),
            ports.watches(),
            settings.store(),
            new KeyValueStore.Rates(
                rateLimits.requests(),
                rateLimits.writes(false),
                cluster.store().requestsShareAfterReduction(),
                cluster.store().writesShareAfterReduction()));
    Duration spacing = rateLimits.watchSpacing();
    this.control = new WatchCache(loop, store, StoreKeys.CONTROL, spacing, new ControlListener());
    this.jobs = new WatchCache(loop, store, StoreKeys.ACTIVE_JOBS, spacing, new JobListener());
    this.readiness = new ReadinessProbe(loop, this::ready);
    this.peers = new PeerFailureDetector(loop, self);
    this.storeHealth =
        new StoreHealth(
            loop,
            tunables.seconds(Tunables.Key.STATE_LOST_S),
            rateLimits.probeSpacing(),
            this::probe,
            new StateLinkListener());
    store.observe(storeHealth);
    Duration shardLease = Leases.shard(cluster.workers(), tunables);
    this.session =
        new ControllerSession(
            loop,
            store,
            self,
            shardLease,
            shorter(tunables.seconds(Tunables.Key.RENEW_S), shardLease.dividedBy(5)),
            jobs::confirmCurrentUrgently,
            this::onSessionChange);
    this.election =
        new LeaderElection(
            loop,
            store,
            self,
            tunables.seconds(Tunables.Key.LEADER_LEASE_S),
            new ElectionListener(),
            this::campaignDelay);
    this.failover =
        new StandbyFailover(
            loop,
            self,
            tunables.seconds(Tunables.Key.LEADER_SILENT_S),
            tunables.seconds(Tunables.Key.LEADER_LEASE_S),
            new StandbyFailover.Parts(
                peers, view, this::isHealthy, () -> sendHeartbeat(true), this::depose));
    this.indirectRenewal =
        new IndirectLeaseRenewal(
            loop,
            self,
            new IndirectLeaseRenewal.Parts(store, storeHealth, peers, session, view, control, jobs),
            this::send);
    this.catalog =
        new MachineTypeCatalog(loop, ports.cloud(), settings.cloud(), this::onSessionChange);
    this.ownedShards =
        new OwnedShards(
            self,
            view,
            session,
            new ShardOwner.Context(
                loop,
                ports.workers(),
                catalog,
                cluster.workers(),
                shardLease,
                cancelled::contains,
                this::onShardStatusChange),
            new OwnedShards.Peers(
                settings.members().stream().map(m -> new NodeId(m.label())).toList(),
                this::answersWorkers,
                this::onReachabilityChange),
            this::sendToLeader);
    List<NodeId> all = new ArrayList<>(List.of(self));
    settings.members().forEach(member -> all.add(new NodeId(member.label())));
    this.featureGates = new FeatureGates(loop, store, self, all, view);
    this.jobApi =
        new JobApi(
            new JobApi.Context(
                loop,
                store,
                catalog,
                cluster,
                tunables.count(Tunables.Key.RETRY_AFTER_S),
                jobs::confirmCurrent,
                ports.heapMonitor()::pressure,
                this::onCancelled));
    this.cloud =
        new CloudClient(
            ports.cloud(),
            settings.cloud(),
            new RateLimiter(loop, cluster.cloud().requestsPerSecond() * 0.6));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  public void start() {
    heapMonitor.start();
    storeHealth.start();
    session.start();
    featureGates.start();
    control.start();
    jobs.start();
    catalog.start();
    ownedShards.start();
    failover.start();
    loop.onProcessPause(this::onProcessPause);
    sendHeartbeatsPeriodically();
  }

  @Override
  public void handle(String method, String path, String body, Responder responder) {
    if (path.equals(WorkerCodec.CHECKIN)) {
      if (requireMethod("POST", method, responder)) {
        ownedShards.onHeartbeat(body, responder);
      }
    } else if (path.equals(JobCodec.RUNS)) {
      if (requireMethod("POST", method, responder)) {
        jobApi.submit(body, responder);
      }
    } else if (path.startsWith(JobCodec.RUNS + "/")) {
      handleJob(method, path.substring(JobCodec.RUNS.length() + 1), responder);
    } else if (path.equals("/ready")) {
      if (requireMethod("GET", method, responder)) {
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
      if (requireMethod("GET", method, responder)) {
        jobApi.poll(job, responder);
      }
    } else if (rest.substring(slash).equals("/withdraw")) {
      if (requireMethod("POST", method, responder)) {
        jobApi.cancelJob(job, responder);
      }
    } else {
      responder.respond(404, JobCodec.error("no such path"));
    }
  }

  private static boolean requireMethod(String wanted, String method, Responder responder) {
    if (wanted.equals(method)) {
      return true;
    }
    responder.respond(405, JobCodec.error("method not allowed"));
    return false;
  }

  /** Not ready while only this node is without the state service: others can do better. */
  private boolean ready() {
    boolean started =
        session.state() == ControllerSession.State.ACTIVE && jobsKnown && catalog.isLoaded();
    return started && storeHealth.state() != StoreHealth.State.LOST;
  }

  /** How a controller stands to its workers, by its own word. */
  private WorkerReachability.State reachabilityOf(NodeId node) {
    if (node.equals(self)) {
      return ownedShards.reachability();
    }
    return peers
        .freshHeartbeat(node)
        .map(PeerFailureDetector::workerReachability)
        .orElse(WorkerReachability.State.WELL);
  }

  private boolean storeLost(NodeId node) {
    return node.equals(self)
        ? storeHealth.state() == StoreHealth.State.LOST
        : peers.freshHeartbeat(node).filter(Heartbeat::getStoreLost).isPresent();
  }

  /** Whether workers should be sent there: not to one that is silent, or cannot hear them. */
  private boolean answersWorkers(NodeId node) {
    return peers.silence(node).compareTo(PeerFailureDetector.FRESH) < 0
        && reachabilityOf(node).compareTo(WorkerReachability.State.DOUBTED) <= 0;
  }

  private void sendHeartbeatsPeriodically() {
    loop.after(election.leading() ? LEADER_HEARTBEAT : HEARTBEAT, this::sendHeartbeatsPeriodically);
    sendHeartbeat();
  }

  private void onReachabilityChange() {
    LOG.info("links: {}", peers.describe());
    sendHeartbeat();
  }

  private void sendHeartbeat() {
    sendHeartbeat(false);
  }

  private void sendHeartbeat(boolean answerSoon) {
    boolean served = storeHealth.state() == StoreHealth.State.SERVED;
    Optional<ClusterView.LeaderRecord> seen = served ? view.leader() : Optional.empty();
    Heartbeat beat =
        new Heartbeat(
            session.lease().map(hold -> hold.value()).orElse(0L),
            storeHealth.silence().toMillis(),
            storeHealth.state() == StoreHealth.State.LOST,
            ownedShards.reachability().wireName(),
            seen.map(record -> record.node().value()).orElse(""),
            seen.map(record -> record.term().value()).orElse(0L),
            election.leading() ? failover.choose(otherZoneFirst) : "",
            answerSoon,
            peers.lastHeardList());
    settings.members().forEach(member -> send(new NodeId(member.label()), beat));
  }

  private boolean isHealthy() {
    return storeHealth.state() == StoreHealth.State.SERVED
        && ownedShards.reachability() == WorkerReachability.State.WELL
        && control.state() == WatchCache.State.WATCHING;
  }

  /** The leader is gone: its lease need not end by itself, every write of its term demands it. */
  private void depose(LeaderElection.TermLease gone) {
    election.onLeadershipTransfer(gone, true, view);
  }

  private Duration campaignDelay() {
    return failover.yields();
  }

  /** A call whose answer tells how the link to the state service is. */
  private void probe() {
    store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> {});
  }

  private void onHeartbeat(NodeId sender, Heartbeat beat) {
    peers.onHeartbeat(sender, beat);
    if (beat.getReplyImmediately()) {
      // What the sender asks is whether the service answers anybody just now.
      store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> sendHeartbeat());
    }
    leaderReportedByPeers()
        .filter(record -> !record.node().equals(self))
        .filter(record -> election.termLease().filter(own -> isNewerTerm(record, own)).isPresent())
        .ifPresent(record -> election.resign("a peer sees another leader"));
  }

  private static boolean isNewerTerm(
      ClusterView.LeaderRecord record, LeaderElection.TermLease own) {
    return record.term().compareTo(own.term()) > 0;
  }

  /** Of a controller that cannot see for itself who leads, its served peers' word counts. */
  private Optional<ClusterView.LeaderRecord> leaderReportedByPeers() {
    return storeHealth.state() == StoreHealth.State.SERVED
        ? Optional.empty()
        : peers.leaderReportedByPeers();
  }

  /** The newest leader by the own view or by peers. */
  private Optional<ClusterView.LeaderRecord> knownLeader() {
    Optional<ClusterView.LeaderRecord> seen = view.leader();
    Optional<ClusterView.LeaderRecord> told = leaderReportedByPeers();
    boolean newer =
        told.isPresent() && (seen.isEmpty() || told.get().term().compareTo(seen.get().term()) > 0);
    return newer ? told : seen;
  }

  /**
   * This process stood still while the clocks ran on. What it has not heard since says nothing of
   * the others; whatever else was fresh before is checked by the clock where it is acted on.
   */
  private void onProcessPause(Duration gap) {
    LOG.warn("stood still for {} ms", gap.toMillis());
    peers.onProcessPause();
    ownedShards.onProcessPause();
  }

  private void send(NodeId node, Object body) {
    if (node.equals(self)) {
      dispatch(self, body);
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
    transport.send(node.value(), frame);
    // Where the two don't hear each other a third that hears both brings it, at worst a second
    // time: every message can be repeated.
    if (frame.length <= MAX_RELAYED) {
      peers
          .relayTo(node)
          .ifPresent(
              third ->
                  transport.send(
                      third.value(),
                      codec.write(
                          self, List.of(new RelayedFrame(node.value(), ByteBuffer.wrap(frame))))));
    }
  }

  /** A leader whose lease may be over takes no reports, not even its own. */
  private void sendToLeader(Object body) {
    if (leader.isPresent() && election.holdsValidLease()) {
      dispatch(self, body);
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
      peers.onMessage(sender, direct);
      message.getBodies().forEach(body -> dispatch(sender, body));
    } catch (MalformedMessageException e) {
      if (malformedFrames++ % 100 == 0) {
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
      transport.send(
          relay.getReceiver(),
          codec.write(self, List.of(new RelayedFrame(relay.getReceiver(), relay.getFrame()))));
    }
  }

  private void dispatch(NodeId sender, Object body) {
    if (body instanceof Heartbeat beat) {
      onHeartbeat(sender, beat);
    } else if (body instanceof ShardAssignment assignment) {
      ownedShards.onAssignment(assignment);
    } else if (body instanceof ShardStatus report) {
      leader.ifPresent(term -> term.onShardStatus(report));
    } else if (body instanceof ShardStatusAck seen) {
      ownedShards.onStatusAck(seen);
    } else if (body instanceof UnknownWorkerReport report) {
      leader.ifPresent(term -> term.onUnknownWorker(report));
    } else if (body instanceof OwnerSuspicion suspicion) {
      leader.ifPresent(term -> term.onOwnerSuspicion(suspicion));
    } else if (body instanceof JobSummary digest) {
      jobApi.onSummary(digest);
    } else if (body instanceof RelayedFrame relay) {
      onRelay(relay);
    } else if (body instanceof LearnedEstimates told) {
      estimates.onEstimates(told);
    } else if (body instanceof LeaseRenewalRequest request) {
      indirectRenewal.onRequest(sender, request);
    } else if (body instanceof LeaseRenewalResponse answer) {
      indirectRenewal.onResponse(sender, answer);
    } else if (body instanceof LeadershipTransfer resignation) {
      onLeadershipTransfer(resignation);
    }
  }

  /** A leader that lost the state service asks the best placed peer to lead. */
  private void transferLeadership() {
    Optional<LeaderElection.TermLease> standing = election.termLease();
    List<NodeId> served = peers.peersServedByStore();
    if (standing.isEmpty() || served.isEmpty()) {
      return;
    }
    LeadershipTransfer resignation =
        new LeadershipTransfer(
            standing.get().term().value(), standing.get().lease().value(), served.get(0).value());
    LOG.warn("term {} given up, {} is to lead", standing.get().term(), served.get(0));
    election.resign("the state service is lost");
    settings.members().forEach(member -> send(new NodeId(member.label()), resignation));
  }

  private void onLeadershipTransfer(LeadershipTransfer resignation) {
    if (storeHealth.state() == StoreHealth.State.SERVED) {
      election.onLeadershipTransfer(
          new LeaderElection.TermLease(
              new Revision(resignation.getTerm()), new LeaseId(resignation.getLease())),
          resignation.getSuccessor().equals(self.value()),
          view);
    }
  }

  private void onSessionChange() {
    if (ownedShards != null) {
      ownedShards.onControlChange();
      observeElection();
    }
  }

  private void observeElection() {
    boolean ready =
        session.state() == ControllerSession.State.ACTIVE
            && storeHealth.state() == StoreHealth.State.SERVED
            && control.state() == WatchCache.State.WATCHING
            && jobsKnown
            && catalog.isLoaded();
    election.observe(view, ready);
  }

  private void onShardStatusChange() {
    ownedShards.reportStatusSoon();
  }

  private void onCancelled(JobId job) {
    if (cancelled.add(job)) {
      ownedShards.onCancelled(job);
    }
  }

  private final class StateLinkListener implements StoreHealth.Listener {
    @Override
    public void doubted() {
      sendHeartbeat(true);
    }

    @Override
    public boolean peerServedSince(MonotonicTime moment) {
      return peers.anyServedSince(moment);
    }

    @Override
    public void changed(StoreHealth.State next) {
      LOG.info("links: {}", peers.describe());
      sendHeartbeat();
      if (next == StoreHealth.State.LOST) {
        transferLeadership();
        indirectRenewal.start();
      }
      observeElection();
    }
  }

  private final class ControlListener implements WatchCache.Listener {
    private boolean grantsChanged;

    @Override
    public void onChange(String key, Optional<KeyValue> item) {
      view.apply(key, item);
      grantsChanged |= key.startsWith(StoreKeys.GRANTS);
    }

    @Override
    public void onCaughtUp(Revision revision) {
      if (grantsChanged) {
        grantsChanged = false;
        session.verifyGrantsSoon();
      }
      ownedShards.onControlChange();
      leader.ifPresent(Leader::onControlChange);
      observeElection();
    }
  }

  private final class JobListener implements WatchCache.Listener {
    @Override
    public void onChange(String key, Optional<KeyValue> item) {
      JobId id = new JobId(key.substring(StoreKeys.ACTIVE_JOBS.length()));
      if (item.isEmpty()) {
        cancelled.remove(id);
        jobApi.onNoLongerActive(id);
        return;
      }
      Optional<JobRecord> read = JobRecord.read(item.get());
      jobApi.onActive(id, read);
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
    public void onCaughtUp(Revision revision) {
      jobs.currentAsOf().ifPresent(session::onCancellationsKnown);
      if (!jobsKnown) {
        jobsKnown = true;
        observeElection();
      }
    }
  }

  private final class ElectionListener implements LeaderElection.Listener {
    @Override
    public void onElected(Revision term) {
      Leader next =
          new Leader(
              new Leader.Context(
                  loop,
                  store,
                  settings,
                  tunables,
                  self,
                  view,
                  catalog,
                  runTimes,
                  estimates,
                  featureGates,
                  failover,
                  new Peers(),
                  new Messenger(),
                  election,
                  cloud),
              term);
      leader = Optional.of(next);
      store.writeRate(rateLimits.writes(true));
      next.start();
    }

    @Override
    public void onLeadershipLost() {
      leader.ifPresent(Leader::retire);
      leader = Optional.empty();
      store.writeRate(rateLimits.writes(false));
      loop.after(Duration.ofMillis(500), Controller.this::observeElection);
    }
  }

  /** The health of all controllers, as this one knows it. */
  private final class Peers implements PeerStatus {
    @Override
    public Duration silence(NodeId node) {
      return peers.silence(node);
    }

    @Override
    public WorkerReachability.State workerReachability(NodeId node) {
      return reachabilityOf(node);
    }

    @Override
    public boolean storeLost(NodeId node) {
      return Controller.this.storeLost(node);
    }
  }

  private final class Messenger implements PeerMessenger {
    @Override
    public void send(NodeId receiver, Object message) {
      Controller.this.send(receiver, message);
    }

    @Override
    public void broadcast(Object message) {
      Controller.this.send(self, message);
      settings
          .members()
          .forEach(member -> Controller.this.send(new NodeId(member.label()), message));
    }
  }
}
