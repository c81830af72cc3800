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
 * One term of leadership. Loads the stored state, then assigns tasks to shards within quotas and
 * zone and spread constraints. Assignments are stored before any owner acts on them.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(500);
  private static final Duration VIEW_POLL_INTERVAL = Duration.ofMillis(50);

  /** States of a term. */
  enum State {
    LOADING,
    LEADING,
    RETIRED
  }

  /**
   * The components of the controller that a term uses.
   *
   * @param loop the event loop that all state of the term is confined to
   * @param store the key-value store, whose contents outlive the term
   * @param settings settings of the platform
   * @param tunables parameters that operators may tune
   * @param self the id of this controller
   * @param view control keys as last reported by the watch
   * @param catalog machine types
   * @param runTimes learned run times, which outlive the term
   * @param estimates replicates learned estimates to the standby
   * @param featureGates tells which storage formats all controllers can read
   * @param failover chooses the standby
   * @param peers health of the other controllers
   * @param messenger sends messages to the other controllers
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
  private final List<JobRecord> recordsReceivedWhileLoading = new ArrayList<>();
  private State state = State.LOADING;
  private Revision firstPageRevision = new Revision(0);

  /**
   * Creates the leader of a term that this controller was elected for.
   *
   * @param context the components of the controller
   * @param term the revision of the leader key, which identifies the term
   */
  public Leader(Context context, Revision term) {
    this.context = context;
    this.loop = context.loop();
    this.term = term;
    TermComponents components = new TermComponents(context, term, new TermStateAdapter());
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

  /** Changes the state and logs the change; all state changes go through this method. */
  private void transitionTo(State next) {
    LOG.info("leader state changed, term={} from={} to={}", term, state, next);
    state = next;
  }

  /** Starts loading the stored state; the leader becomes active when that is complete. */
  public void start() {
    loader.load(StoreKeys.ACTIVE_JOBS, this::loadJobs, this::awaitClusterView);
  }

  /** Ends the term: none of its components acts any more. */
  public void retire() {
    transitionTo(State.RETIRED);
    batcher.close();
  }

  private void loadJobs(StoreCodec.Range page) {
    // The watch reports all changes since the revision of the first page.
    firstPageRevision = firstPageRevision.value() == 0 ? page.revision() : firstPageRevision;
    for (KeyValue item : page.items()) {
      Optional<JobRecord> record = JobRecord.read(item);
      record.ifPresent(jobs::admit);
      if (record.isEmpty()) {
        onUnreadableJob(
            new JobId(item.key().substring(StoreKeys.ACTIVE_JOBS.length())), item.value());
      }
    }
  }

  /**
   * Waits until the cluster view contains this term, and therefore everything that earlier leaders
   * wrote, and until the machine types are loaded.
   */
  private void awaitClusterView() {
    if (state != State.LOADING) {
      return;
    }
    boolean current =
        context.view().leader().filter(leader -> leader.term().equals(term)).isPresent();
    if (!current || !context.catalog().isLoaded()) {
      loop.after(VIEW_POLL_INTERVAL, this::awaitClusterView);
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
    shard.setUnknownFields(record.unknownFields());
    shard.setLastOwner(record.lastOwner());
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
    context.estimates().applyReceived(autoscaler.bootTimes());
    jobs.start();
    onControlKeysChanged();
    recordsReceivedWhileLoading.forEach(this::onJobRecord);
    recordsReceivedWhileLoading.clear();
    List.copyOf(cluster.jobs().all()).forEach(jobs::reconcile);
    runMaintenance();
    summaries.start();
    autoscaler.start();
    cycles.schedule();
  }

  /**
   * Quarantines a job whose record this build cannot read. The job may already be admitted, if a
   * newer build has since rewritten its record; the leader stops managing it at once.
   */
  public void onUnreadableJob(JobId id, JsonNode record) {
    if (state == State.RETIRED) {
      return;
    }
    jobs.quarantineJob(id, record, "unreadable job record");
    cluster.shards().all().forEach(ShardView::markDirty);
    assignments.schedule();
  }

  /** Handles a new or changed record of an active job that the watch reported. */
  public void onJobRecord(JobRecord record) {
    if (state == State.LOADING) {
      // A job accepted while the leader loads may be missing from all pages that it reads.
      recordsReceivedWhileLoading.add(record);
      return;
    }
    if (state != State.LEADING
        || record.revision().compareTo(firstPageRevision) <= 0
        || cluster.unreadable().contains(record.id())) {
      return;
    }
    Optional<Job> known = jobs.findJob(record.id());
    if (known.isEmpty()) {
      jobs.admitUnlessEnded(record);
    } else {
      jobs.onRecordRead(known.get(), record);
    }
    cycles.schedule();
  }

  /** Handles changed control keys: grants may be new, or gone with the session of a controller. */
  public void onControlKeysChanged() {
    if (state != State.LEADING) {
      return;
    }
    grants.onViewChanged();
    grants.assign();
    assignments.schedule();
  }

  /** Handles an owner's report of changes in its shard. */
  public void onShardStatus(ShardStatus status) {
    if (state == State.LEADING && shardStatus.onStatus(status)) {
      cycles.schedule();
    }
  }

  /** Handles a report from a machine that is in no shard, which some controller relayed. */
  public void onUnknownWorker(UnknownWorkerReport report) {
    if (state == State.LEADING) {
      autoscaler.onUnknownWorker(report);
    }
  }

  /**
   * Handles a report that machines sent heartbeats to a controller that does not own their shard.
   */
  public void onOwnerSuspicion(NodeId reporter, OwnerSuspicion suspicion) {
    if (state == State.LEADING) {
      shardStatus.onOwnerSuspicion(reporter, suspicion);
    }
  }

  private void runMaintenance() {
    if (state != State.LEADING) {
      return;
    }
    loop.after(MAINTENANCE_INTERVAL, this::runMaintenance);
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
          loop.now().since(shard.lastStatusAt()).toMillis(),
          availableCapacity.ofShard(shard, Resources.ZERO).size(),
          shard.machines().size(),
          shard.published().size());
    }
  }

  /** Exposes the state of this term to its components. */
  private final class TermStateAdapter implements TermState {
    @Override
    public boolean isLoading() {
      return state == State.LOADING;
    }

    @Override
    public boolean isActive() {
      return state == State.LEADING;
    }

    @Override
    public boolean isOngoing() {
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
