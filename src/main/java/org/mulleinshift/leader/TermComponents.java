package org.mulleinshift.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.autoscaling.Autoscaler;
import org.mulleinshift.autoscaling.AutoscalerSettings;
import org.mulleinshift.autoscaling.Demand;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.dependencies.ExpectedRelease;
import org.mulleinshift.membership.ShardAssigner;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobTable;
import org.mulleinshift.progress.ProgressSettings;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.scheduling.AllocationIndex;
import org.mulleinshift.scheduling.AvailableCapacity;
import org.mulleinshift.scheduling.CapacityReservation;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.scheduling.FailureAttribution;
import org.mulleinshift.scheduling.SchedulingCycle;
import org.mulleinshift.scheduling.SchedulingSettings;
import org.mulleinshift.scheduling.TeamQuotas;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.sharding.AssignmentSender;
import org.mulleinshift.sharding.AssignmentWriter;
import org.mulleinshift.sharding.MachineTable;
import org.mulleinshift.sharding.ShardGrants;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.store.TransactionBatcher;

/** Creates and connects the components of one term, all of which live as long as the term. */
final class TermComponents {
  private final Leader.Context context;
  private final Revision term;
  private final TermState state;
  private final BatchLimits batchLimits;
  private final TransactionBatcher batcher;
  private final ClusterState cluster;
  private final TermLoader loader;
  private final JobLifecycle jobs;
  private final AvailableCapacity availableCapacity;
  private final SchedulingCycle scheduling;
  private final CycleScheduler cycles;
  private final Autoscaler autoscaler;
  private final AssignmentSender assignments;
  private final ShardGrants grants;
  private final ShardStatusHandler shardStatus;
  private final SummaryBroadcaster summaries;

  /** Creates the components in the order of their dependencies. */
  TermComponents(Leader.Context context, Revision term, TermState state) {
    this.context = context;
    this.term = term;
    this.state = state;
    this.batchLimits = BatchLimits.of(context.settings().cluster().storeLimits());
    this.batcher = createBatcher();
    this.cluster = createClusterState();
    this.loader = new TermLoader(context.loop(), context.store(), state::isLoading, term);
    this.jobs = createJobLifecycle();
    this.availableCapacity = new AvailableCapacity(cluster);
    this.scheduling = createScheduling();
    this.cycles = createCycleScheduler();
    this.autoscaler = createAutoscaler();
    this.assignments = createAssignmentSender();
    this.grants = createShardGrants();
    this.shardStatus = createShardStatusHandler();
    this.summaries = createSummaryBroadcaster();
  }

  /** Writes to the store for this term, on condition that the leader key still belongs to it. */
  TransactionBatcher batcher() {
    return batcher;
  }

  /** The state of the cluster as known to the leader. */
  ClusterState cluster() {
    return cluster;
  }

  /** Reads the stored state at the start of the term. */
  TermLoader loader() {
    return loader;
  }

  /** Manages jobs from admission to their stored end. */
  JobLifecycle jobs() {
    return jobs;
  }

  /** Finds the machines that may take tasks. */
  AvailableCapacity availableCapacity() {
    return availableCapacity;
  }

  /** Decides when scheduling cycles run. */
  CycleScheduler cycles() {
    return cycles;
  }

  /** Provisions and releases machines. */
  Autoscaler autoscaler() {
    return autoscaler;
  }

  /** Sends assignments to the owners of shards. */
  AssignmentSender assignments() {
    return assignments;
  }

  /** Grants shards to controllers. */
  ShardGrants grants() {
    return grants;
  }

  /** Applies the status messages of shard owners. */
  ShardStatusHandler shardStatus() {
    return shardStatus;
  }

  /** Broadcasts the jobs' task counts, and sends learned estimates to the standby. */
  SummaryBroadcaster summaries() {
    return summaries;
  }

  private TransactionBatcher createBatcher() {
    return new TransactionBatcher(
        context.loop(),
        context.store(),
        term,
        batchLimits.maxOperations(),
        batchLimits.minInterval(),
        () -> context.election().resign("leader key no longer belongs to this term"));
  }

  private ClusterState createClusterState() {
    Tunables tunables = context.tunables();
    PlatformSettings.Cluster settings = context.settings().cluster();
    ShardTable shards = new ShardTable(batcher, state);
    return new ClusterState(
        context.loop(),
        new JobTable(),
        shards,
        new MachineTable(context.loop(), shards),
        new AllocationIndex(),
        new TeamQuotas(settings.teams()),
        new FailureAttribution(
            tunables.count(Tunables.Key.QUARANTINE_FAILURES),
            tunables.seconds(Tunables.Key.MIN_RETRY_BACKOFF_S)),
        new CapacityReservation(
            settings.objectives(),
            tunables.number(Tunables.Key.RESERVATION_FACTOR),
            tunables.seconds(Tunables.Key.RESERVATION_DURATION_S)),
        new UnreadableJobs(),
        context.catalog(),
        context.runTimes(),
        context.view());
  }

  private JobLifecycle createJobLifecycle() {
    boolean logEnabled = context.tunables().number(Tunables.Key.PROGRESS_LOG_ENABLED) > 0;
    ProgressSettings settings =
        new ProgressSettings(
            context.settings().cluster().storeLimits(),
            batchLimits.maxOperations(),
            context.featureGates(),
            logEnabled);
    return new JobLifecycle(cluster, state, context.store(), batcher, settings);
  }

  private SchedulingCycle createScheduling() {
    return new SchedulingCycle(
        context.loop(),
        term,
        cluster,
        availableCapacity,
        SchedulingSettings.of(context.settings(), context.tunables()),
        jobs);
  }

  private CycleScheduler createCycleScheduler() {
    return new CycleScheduler(
        context.loop(),
        state,
        context.tunables().millis(Tunables.Key.CYCLE_INTERVAL_MS),
        this::runCycle);
  }

  private void runCycle() {
    jobs.propagatePriorities();
    scheduling.run();
  }

  private Autoscaler createAutoscaler() {
    return new Autoscaler(
        cluster,
        state,
        term,
        batcher,
        context.cloud(),
        new QueuedDemand(),
        AutoscalerSettings.of(context.settings(), context.tunables()));
  }

  private AssignmentSender createAssignmentSender() {
    AssignmentWriter writer =
        new AssignmentWriter(
            context.loop(),
            term,
            cluster.jobs(),
            cluster.unreadable(),
            cluster::isCordoned,
            job -> scheduling.ranking().rank(job));
    return new AssignmentSender(
        context.loop(), state, cluster.shards(), writer, context.messenger()::send);
  }

  private ShardGrants createShardGrants() {
    return new ShardGrants(
        context.loop(),
        state,
        cluster.shards(),
        context.view(),
        context.peers(),
        new ShardAssigner(context.self(), zonesOfControllers(), context.loop().now()),
        context.tunables().seconds(Tunables.Key.PEER_TIMEOUT_S));
  }

  private Map<NodeId, ZoneId> zonesOfControllers() {
    Map<NodeId, ZoneId> zones = new HashMap<>();
    zones.put(context.self(), new ZoneId(context.settings().zone()));
    context
        .settings()
        .members()
        .forEach(member -> zones.put(new NodeId(member.label()), new ZoneId(member.zone())));
    return zones;
  }

  private ShardStatusHandler createShardStatusHandler() {
    double retryBackoffSeconds = context.tunables().number(Tunables.Key.MIN_RETRY_BACKOFF_S);
    return new ShardStatusHandler(
        cluster,
        term,
        new TaskStatusHandler(cluster, jobs, retryBackoffSeconds),
        autoscaler,
        context.messenger());
  }

  private SummaryBroadcaster createSummaryBroadcaster() {
    return new SummaryBroadcaster(
        cluster,
        state,
        term,
        autoscaler,
        context.estimates(),
        context.failover(),
        context.messenger());
  }

  /** Gives the autoscaler access to the queued jobs and to the expected releases. */
  private final class QueuedDemand implements Demand {
    @Override
    public List<Job> rankedJobs() {
      return scheduling.ranking().rankedJobs();
    }

    @Override
    public List<ExpectedRelease> expectedReleases(double horizonSeconds) {
      return jobs.expectedReleases(horizonSeconds);
    }
  }
}
