package org.mulleinshift.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mulleinshift.autoscaling.Autoscaler;
import org.mulleinshift.autoscaling.CloudClient;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.membership.LeaderElection;
import org.mulleinshift.membership.PeerMessenger;
import org.mulleinshift.membership.PeerStatus;
import org.mulleinshift.membership.StandbyFailover;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.scheduling.AvailableCapacity;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.sharding.AssignmentSender;
import org.mulleinshift.sharding.ShardGrants;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership: loads what is stored, then decides which tasks go to which shard, within
 * quotas, zones and spread, and stores that before anybody acts on it.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(500);
  private static final Duration VIEW_RETRY = Duration.ofMillis(50);

  /** States of a term. */
  enum State {
    LOADING,
    LEADING,
    RETIRED
  }

  /**
   * The components of a controller that a term works with.
   *
   * @param loop owns all state of the term
   * @param store holds what outlives the term
   * @param settings of the platform
   * @param tunables of the operators
   * @param self this controller
   * @param view control keys as last shown
   * @param catalog machine types
   * @param runTimes learned run times, which outlive the term
   * @param estimates shares learned values with the standby
   * @param featureGates which stored forms all controllers read
   * @param failover names the standby
   * @param peers health of the other controllers
   * @param messenger sends to them
   * @param election holds the leader's lease
   * @param cloud provisions and deletes machines
   */
  public record Context(
      EventLoop loop,
      KeyValueStore store,
      PlatformSettings settings,
      Tunables tunables,
      NodeId self,
      ClusterView view,
      MachineTypeCatalog catalog,
      RunTimeEstimator runTimes,
      EstimateReplicator estimates,
      FeatureGates featureGates,
      StandbyFailover failover,
      PeerStatus peers,
      PeerMessenger messenger,
      LeaderElection election,
      CloudClient cloud) {}

  private final Context context;
  private final EventLoop loop;
  private final Revision term;
  private final TransactionBatcher batcher;
  private final ClusterState cluster;
  private final JobLifecycle jobs;
  private final TermLoader loader;
  private final AvailableCapacity availableCapacity;
  private final CycleScheduler cycles;
  private final Autoscaler autoscaler;
  private final ShardGrants grants;
  private final AssignmentSender assignments;
  private final ShardStatusHandler shardStatus;
  private final SummaryBroadcaster summaries;
  private final List<JobRecord> arrivedWhileLoading = new ArrayList<>();
  private State state = State.LOADING;
  private Revision loadedAt = new Revision(0);

  /**
   * A term that this controller was elected for.
   *
   * @param context the components of the controller
   * @param term the revision of the leader's key
   */
  public Leader(Context context, Revision term) {
    this.context = context;
    this.loop = context.loop();
    this.term = term;
    TermComponents components = new TermComponents(context, term, new Term());
    this.batcher = components.batcher();
    this.cluster = components.cluster();
    this.jobs = components.jobs();
    this.loader = components.loader();
    this.availableCapacity = components.availableCapacity();
    this.cycles = components.cycles();
    this.autoscaler = components.autoscaler();
    this.grants = components.grants();
    this.assignments = components.assignments();
    this.shardStatus = components.shardStatus();
    this.summaries = components.summaries();
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    LOG.info("leader state changed, term={} from={} to={}", term, state, next);
    state = next;
  }

  /** Loads what is stored; then the term begins. */
  public void start() {
    loader.load(StoreKeys.ACTIVE_JOBS, this::loadJobs, this::awaitClusterView);
  }

  /** The term is over: nothing of it acts any more. */
  public void retire() {
    transitionTo(State.RETIRED);
    batcher.close();
  }

  private void loadJobs(StoreCodec.Range page) {
    // The first page's: what changed since then comes by the watch.
    loadedAt = loadedAt.value() == 0 ? page.revision() : loadedAt;
    for (KeyValue item : page.items()) {
      Optional<JobRecord> record = JobRecord.read(item);
      record.ifPresent(jobs::admit);
      if (record.isEmpty()) {
        onUnreadable(new JobId(item.key().substring(StoreKeys.ACTIVE_JOBS.length())), item.value());
      }
    }
  }

  /** The view must show this term: then it shows all that earlier leaders wrote. */
  private void awaitClusterView() {
    if (state != State.LOADING) {
      return;
    }
    boolean current =
        context.view().leader().filter(leader -> leader.term().equals(term)).isPresent();
    if (!current || !context.catalog().isLoaded()) {
      loop.after(VIEW_RETRY, this::awaitClusterView);
      return;
    }
    context.view().shards().forEach(this::loadShard);
    loader.load(
        StoreKeys.PROGRESS_LOG,
        jobs::loadLogSegments,
        () -> loader.load(StoreKeys.PROGRESS, jobs::loadChunks, this::loadProvisioningRequests));
  }

  private void loadShard(ShardId id, ClusterView.ShardRecord record) {
    ShardView shard = new ShardView(id, record.zone(), loop.now());
    shard.machines().putAll(record.machines());
    shard.unknownFields(record.unknownFields());
    shard.lastOwner(record.lastOwner());
    cluster.shards().add(shard);
    batcher.recordRevision(StoreKeys.shard(id), record.revision());
  }

  private void loadProvisioningRequests() {
    loader.load(
        StoreKeys.PROVISIONING_REQUESTS,
        page -> autoscaler.provisioner().load(page.items()),
        this::startLeading);
  }

  private void startLeading() {
    jobs.finishLoading();
    transitionTo(State.LEADING);
    context.estimates().apply(autoscaler.bootTimes());
    jobs.start();
    onControlChange();
    arrivedWhileLoading.forEach(this::onJob);
    arrivedWhileLoading.clear();
    List.copyOf(cluster.jobs().all()).forEach(jobs::settle);
    maintain();
    summaries.start();
    autoscaler.start();
    cycles.schedule();
  }

  /**
   * A job's record that this build can't read. When a newer build rewrites a job that this leader
   * has already admitted, the leader leaves it alone at once.
   */
  public void onUnreadable(JobId id, JsonNode record) {
    if (state == State.RETIRED) {
      return;
    }
    jobs.quarantineJob(id, record, "its record");
    cluster.shards().all().forEach(ShardView::markDirty);
    assignments.schedule();
  }

  /** A change of an active job in the store, as the watch brings it. */
  public void onJob(JobRecord record) {
    if (state == State.LOADING) {
      // What is accepted while a new leader loads may be in no page that it read.
      arrivedWhileLoading.add(record);
      return;
    }
    if (state != State.LEADING
        || record.revision().compareTo(loadedAt) <= 0
        || cluster.unreadable().contains(record.id())) {
      return;
    }
    Optional<Job> known = jobs.findJob(record.id());
    if (known.isEmpty()) {
      jobs.admit(record);
    } else {
      jobs.onRecordRead(known.get(), record);
    }
    cycles.schedule();
  }

  /** The control keys changed: grants may be there, or have gone with a controller's session. */
  public void onControlChange() {
    if (state != State.LEADING) {
      return;
    }
    for (ShardView shard : cluster.shards().all()) {
      Optional<ClusterView.GrantRecord> grantInView =
          Optional.ofNullable(context.view().grants().get(shard.id()));
      shard.grant(
          grantInView.map(grant -> new ShardView.Grant(grant.owner(), grant.revision())),
          loop.now());
      String key = StoreKeys.grant(shard.id());
      grantInView.ifPresentOrElse(
          grant -> batcher.recordRevision(key, grant.revision()),
          () -> batcher.forgetRevision(key));
    }
    grants.assign();
    assignments.schedule();
  }

  /** A shard's owner reports what has changed. */
  public void onShardStatus(ShardStatus status) {
    if (state == State.LEADING && shardStatus.onStatus(status)) {
      cycles.schedule();
    }
  }

  /** A machine that belongs to no shard reported to some controller. */
  public void onUnknownWorker(UnknownWorkerReport report) {
    if (state == State.LEADING) {
      autoscaler.onUnknownWorker(report);
    }
  }

  /** Machines report to another controller than their shard's owner. */
  public void onOwnerSuspicion(NodeId reporter, OwnerSuspicion suspicion) {
    if (state == State.LEADING) {
      shardStatus.onOwnerSuspicion(reporter, suspicion);
    }
  }

  private void maintain() {
    if (state != State.LEADING) {
      return;
    }
    loop.after(MAINTENANCE_INTERVAL, this::maintain);
    logShards();
    jobs.maintainProgress();
    grants.assign();
    shardStatus.acknowledgeAll();
    assignments.sendNow();
    cycles.schedule();
  }

  private void logShards() {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    for (ShardView shard : cluster.shards().all()) {
      LOG.debug(
          "shard, id={} grant={} status_age_ms={} usable={} machines={} tasks={}",
          shard.id(),
          shard.grant().map(Object::toString).orElse("none"),
          loop.now().since(shard.statusAt()).toMillis(),
          availableCapacity.ofShard(shard, Resources.ZERO).size(),
          shard.machines().size(),
          shard.published().size());
    }
  }

  /** This term as its components see it. */
  private final class Term implements TermState {
    @Override
    public boolean isLoading() {
      return state == State.LOADING;
    }

    @Override
    public boolean isActive() {
      return state == State.LEADING;
    }

    @Override
    public boolean isServing() {
      return state != State.RETIRED;
    }

    @Override
    public boolean hasValidLease() {
      return context.election().holdsValidLease();
    }

    @Override
    public void scheduleCycle() {
      cycles.schedule();
    }

    @Override
    public void onShardChanged() {
      assignments.schedule();
    }

    @Override
    public void onShardStored() {
      cycles.schedule();
    }
  }
}
