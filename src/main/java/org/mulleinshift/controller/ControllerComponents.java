package org.mulleinshift.controller;

import java.time.Duration;
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
import org.mulleinshift.membership.StandbyFailover;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.settings.LeaseDurations;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.sharding.OwnedShards;
import org.mulleinshift.sharding.ShardOwner;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.PrefixWatcher;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.RequestHandler;

/**
 * Builds the components of one controller and connects them. A component that uses one built later
 * gets a callback, which isn't called before {@link #start}.
 */
final class ControllerComponents {
  /** A session lease is renewed at least this many times within its duration. */
  private static final int RENEWALS_PER_LEASE = 5;

  private final PlatformSettings settings;
  private final PlatformSettings.Cluster cluster;
  private final Tunables tunables;
  private final Controller.Ports ports;
  private final EventLoop loop;
  private final ClusterMembers members;
  private final Duration shardLease;
  private final ClusterView view = new ClusterView();
  private final RunTimeEstimator runTimes = new RunTimeEstimator();
  private final ComponentEvents events = new ComponentEvents(this);
  private final PeerMessageDispatcher dispatcher = new PeerMessageDispatcher();
  private final EstimateReplicator estimateReplicator;
  private final StoreRateLimits rateLimits;
  private final KeyValueStore store;
  private final CancelledJobs cancelledJobs;
  private final CurrentTerm currentTerm;
  private final PrefixWatcher controlKeys;
  private final ActiveJobsListener activeJobsListener;
  private final PrefixWatcher activeJobs;
  private final PeerFailureDetector failureDetector;
  private final FrameMessenger messenger;
  private final StoreHealth storeHealth;
  private final ControllerSession session;
  private final LeaderElection election;
  private final StandbyFailover failover;
  private final IndirectLeaseRenewal indirectRenewal;
  private final MachineTypeCatalog catalog;
  private final ControllerStatus status;
  private final OwnedShards ownedShards;
  private final FeatureGates featureGates;
  private final CancellationAnnouncer cancellationAnnouncer;
  private final JobApi jobApi;
  private final CloudClient cloud;
  private final ControllerReadiness readiness;
  private final LeaderLocator leaderLocator;
  private final LeadershipCoordinator leadership;
  private final HeartbeatExchange heartbeats;
  private final RequestRouter router;

  /** Builds each component after those that its constructor needs. */
  ControllerComponents(PlatformSettings settings, Tunables tunables, Controller.Ports ports) {
    this.settings = settings;
    this.cluster = settings.cluster();
    this.tunables = tunables;
    this.ports = ports;
    this.loop = ports.loop();
    this.members = ClusterMembers.of(settings);
    this.shardLease = LeaseDurations.maxShardLease(cluster.workerTiming(), tunables);
    this.estimateReplicator = new EstimateReplicator(loop, runTimes);
    this.rateLimits = new StoreRateLimits(cluster);
    this.store = rateLimits.createClient(ports, settings.storeAddress());
    this.cancelledJobs = new CancelledJobs(events::onJobCancelled);
    this.currentTerm =
        new CurrentTerm(loop, store, rateLimits, this::createLeader, events::onCandidacyAllowed);
    this.controlKeys = createControlKeys();
    this.activeJobsListener = new ActiveJobsListener(cancelledJobs, currentTerm, events);
    this.activeJobs = createActiveJobs();
    this.failureDetector = new PeerFailureDetector(loop, members.self());
    this.messenger =
        new FrameMessenger(loop, ports.peers(), members, failureDetector, dispatcher::dispatch);
    this.storeHealth = createStoreHealth();
    this.session = createSession();
    this.election = createElection();
    this.failover = createFailover();
    this.indirectRenewal = createIndirectRenewal();
    this.catalog = createCatalog();
    this.status = createStatus();
    this.ownedShards = createOwnedShards();
    this.featureGates = new FeatureGates(loop, store, members.self(), members.all(), view);
    this.cancellationAnnouncer = createCancellationAnnouncer();
    this.jobApi = createJobApi();
    this.cloud = createCloudClient();
    this.readiness = createReadiness();
    this.leaderLocator = new LeaderLocator(view, storeHealth, failureDetector);
    this.leadership = createLeadership();
    this.heartbeats = createHeartbeats();
    this.router =
        new RequestRouter(ownedShards, jobApi, new ReadinessProbe(loop, readiness::canServe));
    PeerMessageHandlers.register(dispatcher, this);
  }

  /** Returns the handler of all HTTP requests. */
  RequestHandler router() {
    return router;
  }

  /** Returns the messenger, which exchanges frames with the other controllers. */
  FrameMessenger messenger() {
    return messenger;
  }

  /** Returns the current term, which provides the leader while this controller leads. */
  CurrentTerm currentTerm() {
    return currentTerm;
  }

  /** Returns this controller's copy of the active jobs in the store. */
  PrefixWatcher activeJobs() {
    return activeJobs;
  }

  /** Returns the failure detector for the other controllers. */
  PeerFailureDetector failureDetector() {
    return failureDetector;
  }

  /** Returns this controller's session in the store, which its ownership of shards depends on. */
  ControllerSession session() {
    return session;
  }

  /** Returns the component that renews leases through other controllers. */
  IndirectLeaseRenewal indirectRenewal() {
    return indirectRenewal;
  }

  /** Returns the shards that this controller owns. */
  OwnedShards ownedShards() {
    return ownedShards;
  }

  /** Returns the component that announces cancellations to the other controllers. */
  CancellationAnnouncer cancellationAnnouncer() {
    return cancellationAnnouncer;
  }

  /** Returns the handler of users' requests. */
  JobApi jobApi() {
    return jobApi;
  }

  /** Returns the replicator of estimates that leaders learn. */
  EstimateReplicator estimateReplicator() {
    return estimateReplicator;
  }

  /** Returns the component that decides when this controller stands for election or resigns. */
  LeadershipCoordinator leadership() {
    return leadership;
  }

  /** Returns the exchange of heartbeats with the other controllers. */
  HeartbeatExchange heartbeats() {
    return heartbeats;
  }

  /** Starts all components, each after those that it depends on. */
  void start() {
    ports.heapMonitor().start();
    storeHealth.start();
    session.start();
    featureGates.start();
    controlKeys.start();
    activeJobs.start();
    catalog.start();
    ownedShards.start();
    failover.start();
    loop.onProcessPause(events::onProcessPause);
    heartbeats.start();
  }

  private PrefixWatcher createControlKeys() {
    ControlKeysListener listener =
        new ControlKeysListener(view, events::onGrantsChange, events::onControlKeysChanged);
    return new PrefixWatcher(
        loop, store, StoreKeys.CONTROL, rateLimits.minWatchInterval(), listener);
  }

  private PrefixWatcher createActiveJobs() {
    return new PrefixWatcher(
        loop, store, StoreKeys.ACTIVE_JOBS, rateLimits.minWatchInterval(), activeJobsListener);
  }

  private StoreHealth createStoreHealth() {
    StoreHealth health =
        new StoreHealth(
            loop,
            tunables.seconds(Tunables.Key.STORE_TIMEOUT_S),
            rateLimits.probeInterval(),
            this::probeStore,
            events);
    store.setCallObserver(health);
    return health;
  }

  /** Sends a request whose response shows whether the store serves this controller. */
  private void probeStore() {
    store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> {});
  }

  private ControllerSession createSession() {
    return new ControllerSession(
        loop,
        store,
        members.self(),
        shardLease,
        shorter(
            tunables.seconds(Tunables.Key.RENEW_INTERVAL_S),
            shardLease.dividedBy(RENEWALS_PER_LEASE)),
        activeJobs::confirmCurrentUrgently,
        events::onPreconditionChange);
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  private LeaderElection createElection() {
    return new LeaderElection(
        loop,
        store,
        members.self(),
        tunables.seconds(Tunables.Key.LEADER_LEASE_S),
        currentTerm,
        () -> failover.campaignDelay());
  }

  private StandbyFailover createFailover() {
    return new StandbyFailover(
        loop,
        members.self(),
        tunables.seconds(Tunables.Key.LEADER_TIMEOUT_S),
        tunables.seconds(Tunables.Key.LEADER_LEASE_S),
        new StandbyFailover.Context(
            failureDetector,
            view,
            () -> readiness.connectionsHealthy(),
            () -> heartbeats.requestReplies(),
            failed -> leadership.depose(failed)));
  }

  private IndirectLeaseRenewal createIndirectRenewal() {
    return new IndirectLeaseRenewal(
        loop,
        members.self(),
        new IndirectLeaseRenewal.Context(
            store, storeHealth, failureDetector, session, view, controlKeys, activeJobs),
        messenger::send);
  }

  private ControllerStatus createStatus() {
    return new ControllerStatus(
        members.self(), failureDetector, storeHealth, () -> ownedShards.reachability());
  }

  private OwnedShards createOwnedShards() {
    ShardOwner.Context context =
        new ShardOwner.Context(
            loop,
            ports.workerClient(),
            catalog,
            cluster.workerTiming(),
            shardLease,
            cancelledJobs::contains,
            () -> ownedShards.reportStatusSoon());
    return new OwnedShards(
        members.self(),
        view,
        session,
        context,
        new OwnedShards.Peers(members.others(), status, events::onReachabilityChange),
        message -> leadership.sendToLeader(message));
  }

  private MachineTypeCatalog createCatalog() {
    return new MachineTypeCatalog(
        loop, ports.cloudClient(), settings.cloudAddress(), events::onPreconditionChange);
  }

  private CancellationAnnouncer createCancellationAnnouncer() {
    CancellationAnnouncer.Cluster controllers =
        new CancellationAnnouncer.Cluster(members, view, controlKeys::confirmCurrent, featureGates);
    return new CancellationAnnouncer(loop, controllers, messenger, cancelledJobs, shardLease);
  }

  private CloudClient createCloudClient() {
    return CloudClient.withRateLimit(
        loop,
        ports.cloudClient(),
        settings.cloudAddress(),
        cluster.cloudLimits().requestsPerSecond());
  }

  private JobApi createJobApi() {
    return new JobApi(
        new JobApi.Context(
            loop,
            store,
            catalog,
            cluster,
            tunables.count(Tunables.Key.RETRY_AFTER_S),
            activeJobs::confirmCurrent,
            ports.heapMonitor()::pressure,
            cancellationAnnouncer,
            () -> featureGates.allSupport(FeatureGates.DEPENDENCY_VERIFICATION)));
  }

  private ControllerReadiness createReadiness() {
    return new ControllerReadiness(
        session,
        storeHealth,
        controlKeys,
        activeJobsListener::loaded,
        catalog,
        ownedShards::reachability);
  }

  private LeadershipCoordinator createLeadership() {
    return new LeadershipCoordinator(
        new LeadershipCoordinator.Context(
            members.self(),
            election,
            currentTerm,
            leaderLocator,
            readiness,
            storeHealth,
            failureDetector,
            view,
            messenger));
  }

  private HeartbeatExchange createHeartbeats() {
    return new HeartbeatExchange(
        new HeartbeatExchange.Context(
            loop,
            store,
            members,
            session,
            storeHealth,
            ownedShards::reachability,
            leaderLocator,
            election,
            failover,
            failureDetector,
            leadership,
            messenger));
  }

  private Leader createLeader(Revision term) {
    Leader.Context context =
        new Leader.Context(
            loop,
            store,
            settings,
            tunables,
            members.self(),
            view,
            catalog,
            runTimes,
            estimateReplicator,
            featureGates,
            failover,
            status,
            messenger,
            election,
            cloud);
    return new Leader(context, term);
  }
}
