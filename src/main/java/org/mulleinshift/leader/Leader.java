package org.mulleinshift.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.mulleinshift.autoscaling.Autoscaler;
import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.dependencies.DependencyTracker;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.progress.ProgressPersister;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.scheduling.AllocationIndex;
import org.mulleinshift.scheduling.AvailableCapacity;
import org.mulleinshift.scheduling.CapacityReservation;
import org.mulleinshift.scheduling.FailureAttribution;
import org.mulleinshift.scheduling.JobRanking;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.scheduling.SchedulingCycle;
import org.mulleinshift.scheduling.TeamQuotas;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.sharding.AssignmentWriter;
import org.mulleinshift.sharding.ShardGrants;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.sharding.TaskPhase;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership: decides which tasks go to which shard, within quotas, zones and spread,
 * and stores that before anybody acts on it. A new leader starts from what is stored.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final Duration RETRY = Duration.ofMillis(400);
  private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(500);
  private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RESEND = Duration.ofMillis(700);
  private static final int CYCLE_SHARE = 4;

  /** Share of the state service's requests that transactions of the leader use. */
  private static final double BATCHER_REQUEST_SHARE = 0.2;

  /** What ends a job is stored as one. */
  private static final int MIN_BATCH = 2;

  /** States of a term. */
  enum State {
    LOADING,
    LEADING,
    RETIRED
  }

  /** What the leader needs of its node. */
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
      Supplier<Optional<NodeId>> standby,
      Function<NodeId, Duration> peerSilence,
      Function<NodeId, WorkerReachability.State> workerReachability,
      Predicate<NodeId> storeLost,
      BiConsumer<NodeId, Object> send,
      BooleanSupplier holdsValidLease,
      Runnable resign) {}

  private final Context context;
  private final EventLoop loop;
  private final Revision term;
  private final TransactionBatcher batcher;
  private final ProgressPersister progress;
  private final DependencyTracker dependencies;
  private final Map<JobId, Job> jobs = new TreeMap<>();
  private final Map<ShardId, ShardView> shards = new TreeMap<>();
  private final TeamQuotas quota;
  private final AvailableCapacity availableCapacity;
  private final AssignmentWriter assignmentWriter;
  private final FailureAttribution failures;
  private final AllocationIndex allocations = new AllocationIndex();
  private final Autoscaler autoscaler;
  private final CapacityReservation reservation;
  private final SchedulingCycle scheduling;
  private final ShardGrants grants;
  private final List<JobRecord> arrivedWhileLoading = new ArrayList<>();
  private final UnreadableJobs unreadable = new UnreadableJobs();
  private State state = State.LOADING;
  private Revision loadedAt = new Revision(0);
  private MonotonicTime lastCycle;
  private Duration lastCycleDuration = Duration.ZERO;
  private boolean cycleScheduled;
  private boolean sendScheduled;

  public Leader(Context context, Autoscaler.Cloud cloud, Revision term) {
    this.context = context;
    this.loop = context.loop();
    this.term = term;
    this.lastCycle = loop.now();
    this.batcher =
        new TransactionBatcher(
            loop,
            context.store(),
            term,
            maxBatch(context.settings().cluster().store()),
            spacing(context.settings().cluster().store()),
            context.resign());
    this.progress =
        new ProgressPersister(
            this, context, batcher, maxBatch(context.settings().cluster().store()));
    this.dependencies = new DependencyTracker(this, context);
    this.quota = new TeamQuotas(context.settings().cluster().teams());
    this.availableCapacity = new AvailableCapacity(this, context.catalog());
    this.assignmentWriter = new AssignmentWriter(this, loop, term);
    this.failures =
        new FailureAttribution(
            context.tunables().count(Tunables.Key.FAULTY_AFTER),
            context.tunables().seconds(Tunables.Key.ERROR_PAUSE_S));
    this.reservation =
        new CapacityReservation(
            context.settings().cluster().objectives(),
            context.tunables().number(Tunables.Key.HEADROOM_JOBS),
            context.tunables().seconds(Tunables.Key.HEADROOM_LASTS_S));
    this.scheduling = new SchedulingCycle(this, context, term, availableCapacity);
    this.autoscaler = new Autoscaler(this, context, cloud, term);
    this.grants = new ShardGrants(this, context, batcher);
  }

  /** A batch above what the service lets through at once would be refused for ever. */
  private static int maxBatch(PlatformSettings.StoreLimits limits) {
    int burst = (int) (limits.writesPerSecond() * limits.writesShareAfterReduction() / 2);
    return Math.min(limits.minTransactionOperations(), Math.max(MIN_BATCH, burst));
  }

  /** Transactions follow each other so that the other requests find room. */
  private static Duration spacing(PlatformSettings.StoreLimits limits) {
    double requests =
        limits.requestsPerSecond() * limits.requestsShareAfterReduction() * BATCHER_REQUEST_SHARE;
    return Duration.ofNanos((long) (1e9 / requests));
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    LOG.info("term {}: {} -> {}", term, state, next);
    state = next;
  }

  public void start() {
    load(StoreKeys.ACTIVE_JOBS, this::loadJobs, this::awaitClusterView);
  }

  public void retire() {
    transitionTo(State.RETIRED);
    batcher.close();
  }

  /** Page by page, and no page is kept: after a fall of all controllers there are many. */
  private void load(String prefix, Consumer<StoreCodec.Range> consumer, Runnable then) {
    load(prefix, Optional.empty(), consumer, then);
  }

  private void load(
      String prefix, Optional<String> after, Consumer<StoreCodec.Range> consumer, Runnable then) {
    context
        .store()
        .readPage(
            prefix,
            after,
            answer -> {
              if (state != State.LOADING) {
                return;
              }
              if (!(answer instanceof ReadResult.Found<StoreCodec.Range> found)) {
                loop.after(RETRY, () -> load(prefix, after, consumer, then));
                return;
              }
              StoreCodec.Range page = found.value();
              consumer.accept(page);
              if (page.next().isPresent()) {
                load(prefix, page.next(), consumer, then);
              } else {
                then.run();
              }
            });
  }

  private void loadJobs(StoreCodec.Range page) {
    // The first page's: what changed since then comes by the watch.
    loadedAt = loadedAt.value() == 0 ? page.revision() : loadedAt;
    for (KeyValue item : page.items()) {
      Optional<JobRecord> record = JobRecord.read(item);
      record.ifPresent(dependencies::admit);
      if (record.isEmpty()) {
        onUnreadable(new JobId(item.key().substring(StoreKeys.ACTIVE_JOBS.length())), item.value());
      }
    }
  }

  /**
   * A job's record that this build can't read. A newer build's rewriting of a job that this leader
   * has already taken up ends its part in the job at once.
   */
  public void onUnreadable(JobId id, JsonNode record) {
    if (state == State.RETIRED) {
      return;
    }
    quarantineJob(id, record, "its record");
    shards.values().forEach(ShardView::markDirty);
    scheduleSend();
  }

  /** Owners hear no more of the job's tasks, and leave alone what runs of them. */
  public void quarantineJob(JobId id, JsonNode record, String why) {
    unreadable.add(id, record, why);
    Job job = jobs.remove(id);
    dependencies.remove(id);
    if (job != null) {
      for (TaskAssignment assignment : job.assignments()) {
        unreadable.addShard(assignment.shard());
        if (state == State.LEADING) {
          allocations.remove(assignment);
          retract(assignment);
        }
      }
    }
  }

  /** The view must show our own term: then it shows all that earlier leaders wrote. */
  private void awaitClusterView() {
    if (state != State.LOADING) {
      return;
    }
    boolean current =
        context.view().leader().filter(leader -> leader.term().equals(term)).isPresent();
    if (!current || !context.catalog().isLoaded()) {
      loop.after(Duration.ofMillis(50), this::awaitClusterView);
      return;
    }
    context.view().shards().forEach(this::loadShard);
    load(StoreKeys.PROGRESS_LOG, progress.loader()::loadSegments, this::loadParts);
  }

  private void loadParts() {
    load(
        StoreKeys.PROGRESS,
        progress.loader()::loadParts,
        () -> load(StoreKeys.PROVISIONING_REQUESTS, this::loadRentals, this::begin));
  }

  private void loadShard(ShardId id, ClusterView.ShardRecord record) {
    ShardView shard = new ShardView(id, record.zone(), loop.now());
    shard.machines().putAll(record.machines());
    shard.unknownFields(record.unknownFields());
    shard.lastOwner(record.lastOwner());
    shards.put(id, shard);
    batcher.recordRevision(StoreKeys.shard(id), record.revision());
  }

  private void loadRentals(StoreCodec.Range page) {
    autoscaler.provisioner().load(page.items(), batcher);
  }

  public void publish(TaskAssignment assignment) {
    ShardView shard = shards.get(assignment.shard());
    if (shard != null) {
      shard.publish(assignment);
      scheduleSend();
    }
  }

  public void retract(TaskAssignment assignment) {
    ShardView shard = shards.get(assignment.shard());
    if (shard != null) {
      shard.retract(assignment);
      scheduleSend();
    }
  }

  public ZoneId zoneOf(ShardId shard) {
    ShardView found = shards.get(shard);
    return found != null ? found.zone() : new ZoneId(shard.value());
  }

  private void begin() {
    progress.loader().finish();
    transitionTo(State.LEADING);
    context.estimates().apply(autoscaler.bootTimes());
    jobs.values().forEach(this::restoreAssignments);
    dependencies.begin();
    onControlChange();
    arrivedWhileLoading.forEach(this::onJob);
    arrivedWhileLoading.clear();
    List.copyOf(jobs.values()).forEach(this::settle);
    maintain();
    sendSummary();
    autoscaler.start();
    scheduleCycle();
  }

  /** Takes up what the store says of a job's tasks. */
  private void restoreAssignments(Job job) {
    job.assignments().forEach(allocations::add);
    job.assignments().forEach(this::publish);
  }

  /** A job that may run, or is to end; one that was held comes here once it is not any more. */
  public void addJob(Job job) {
    jobs.put(job.spec().id(), job);
    if (state == State.LEADING) {
      restoreAssignments(job);
      reservation.onJobArrived(job.spec(), loop.now());
      scheduleCycle();
    }
  }

  /** A job that is not over, held or not. */
  public Optional<Job> findJob(JobId id) {
    return Optional.ofNullable(jobs.get(id)).or(() -> dependencies.waitingJob(id));
  }

  public boolean leading() {
    return state == State.LEADING;
  }

  /** The term goes on, or will. */
  public boolean serving() {
    return state != State.RETIRED;
  }

  public DependencyTracker dependencies() {
    return dependencies;
  }

  public TransactionBatcher batcher() {
    return batcher;
  }

  public CapacityReservation reservation() {
    return reservation;
  }

  public Map<ShardId, ShardView> shards() {
    return shards;
  }

  public Map<JobId, Job> jobs() {
    return jobs;
  }

  public Autoscaler autoscaler() {
    return autoscaler;
  }

  public AllocationIndex allocations() {
    return allocations;
  }

  /** A change of an active job in the store, as the watch brings it. */
  public void onJob(JobRecord record) {
    if (state == State.LOADING) {
      // What is accepted while a new leader loads may be in no page that it read: it waits.
      arrivedWhileLoading.add(record);
      return;
    }
    if (state != State.LEADING
        || record.revision().compareTo(loadedAt) <= 0
        || unreadable.contains(record.id())) {
      return;
    }
    Job job = findJob(record.id()).orElse(null);
    if (job == null) {
      dependencies.admit(record);
    } else if (record.revision().compareTo(job.revision()) > 0) {
      if (job.state() == Job.State.AWAITING_DEPENDENCIES) {
        dependencies.update(job, record);
      } else {
        job.update(record);
        settle(job);
      }
    }
    scheduleCycle();
  }

  public void onControlChange() {
    if (state != State.LEADING) {
      return;
    }
    for (ShardView shard : shards.values()) {
      ClusterView.GrantRecord seen = context.view().grants().get(shard.id());
      shard.grant(
          Optional.ofNullable(seen)
              .map(grant -> new ShardView.Grant(grant.owner(), grant.revision())),
          loop.now());
      if (seen == null) {
        batcher.forgetRevision(StoreKeys.grant(shard.id()));
      } else {
        batcher.recordRevision(StoreKeys.grant(shard.id()), seen.revision());
      }
    }
    grants.assign();
    scheduleSend();
  }

  public void onShardStatus(ShardStatus report) {
    if (state != State.LEADING) {
      return;
    }
    ShardView shard = shards.get(new ShardId(report.getShard()));
    if (shard == null
        || shard.grant().filter(g -> g.revision().value() == report.getGrant()).isEmpty()) {
      return;
    }
    if (report.getSeenTerm() == term.value()) {
      shard.onAssignmentAck(report.getSeenVersion(), loop.now());
    }
    if (!shard.isContiguous(report)) {
      // A report went missing, or this leader is new: the owner tells again from what is known.
      acknowledgeStatus(shard);
      return;
    }
    if (report.getSequence() <= shard.lastSequence()) {
      return;
    }
    List<MachineId> named = shard.onStatus(report, loop.now());
    for (TaskStatus task : report.getTasks()) {
      onTaskStatus(task);
    }
    named.forEach(machine -> autoscaler.onMachineStatus(shard, machine));
    if (!named.isEmpty() || !report.getTasks().isEmpty()) {
      scheduleCycle();
    }
  }

  private void acknowledgeStatus(ShardView shard) {
    shard
        .grant()
        .ifPresent(
            grant ->
                context
                    .send()
                    .accept(
                        grant.owner(),
                        new ShardStatusAck(
                            term.value(),
                            shard.id().value(),
                            grant.revision().value(),
                            shard.lastSequence())));
  }

  public void onUnknownWorker(UnknownWorkerReport report) {
    if (state == State.LEADING) {
      autoscaler.onUnknownWorker(report);
    }
  }

  private void onTaskStatus(TaskStatus report) {
    Job job = jobs.get(new JobId(report.getJob()));
    TaskAssignment assignment = job == null ? null : job.assignment(report.getIndex()).orElse(null);
    if (assignment == null
        || assignment.attempt().value() != report.getAttempt()
        || assignment.state() == TaskAssignment.State.ENDED) {
      return;
    }
    allocations.remove(assignment);
    onTaskStatus(report, job, assignment);
    allocations.add(assignment);
  }

  private void onTaskStatus(TaskStatus report, Job job, TaskAssignment assignment) {
    MachineId machine = new MachineId(report.getMachine());
    MonotonicTime since = loop.now().minus(Duration.ofMillis(report.getRanMs()));
    switch (TaskPhase.fromWireName(report.getPhase())) {
      case NEW -> assignment.clearPlacement();
      case STARTING, FETCHING -> assignment.markPlaced(machine);
      case RUNNING, SAVING -> {
        assignment.markRunning(machine, since);
        job.markStarted(loop.wallMillis());
      }
      case DONE -> {
        failures.onSuccess(job, machine);
        double seconds = report.getRanMs() / 1000.0;
        context.runTimes().onTaskDone(job.spec(), seconds);
        job.taskDone(assignment, seconds);
        onTaskChanged(job, report.getIndex());
      }
      case FAILED -> {
        failures.onFailure(job, machine, loop.now());
        markShardChanged(assignment.shard());
        job.countFailure();
        // Spaced out, so that a job that fails everywhere does not keep the fleet busy.
        double pause =
            context.tunables().number(Tunables.Key.ERROR_PAUSE_S)
                * Math.min(12, Math.max(1, job.failures() / (double) job.spec().tasks()));
        onTaskReturned(job, assignment, Optional.of(loop.now().plusMillis((long) (pause * 1000))));
      }
      case REJECTED -> onTaskReturned(job, assignment, Optional.of(loop.now().plusMillis(500)));
      case STOPPED, LOST -> onTaskReturned(job, assignment, Optional.empty());
    }
  }

  private void onTaskReturned(
      Job job, TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    job.taskReturned(assignment, notBefore);
    onTaskChanged(job, assignment.task().index());
  }

  public TeamQuotas quota() {
    return quota;
  }

  /** Takes no new task. */
  public boolean isCordoned(MachineId machine) {
    return autoscaler.isCordoned(machine)
        || failures.isQuarantined(machine)
        || failures.isSuspect(machine, loop.now());
  }

  /** Jobs that this build can't read. */
  public UnreadableJobs unreadable() {
    return unreadable;
  }

  /** What each team has out, or may have. */
  public Map<TeamId, Resources> usageByTeam() {
    Map<TeamId, Resources> use = TeamQuotas.usageByTeam(jobs.values());
    unreadable.addUsage(use);
    return use;
  }

  /** Whether a task is, may be about to be, or may unknown to this build be on the machine. */
  public boolean isBusy(MachineId machine, ShardId shard) {
    return allocations.busy(machine, shard) || unreadable.mayOccupy(shard);
  }

  public FailureAttribution failures() {
    return failures;
  }

  private void onTaskChanged(Job job, int index) {
    progress.store(job, index, false);
    settle(job);
  }

  /** Ends the job if nothing is left of it; stops its tasks if it was cancelled. */
  public void settle(Job job) {
    if (job.state() == Job.State.CANCELLING) {
      dependencies.onCancelled(job.spec().id());
      for (TaskAssignment assignment : job.assignments()) {
        if (!assignment.stopRequested()) {
          requestStop(assignment);
        }
      }
    }
    boolean over = job.state() == Job.State.ACTIVE ? job.complete() : job.drained();
    if (over) {
      progress.end(job);
    }
  }

  /** The job's end is stored; these were the tasks that the store still knew of. */
  public void onJobEnded(Job job, List<TaskAssignment> left, long atMillis) {
    JobId id = job.spec().id();
    jobs.remove(id);
    failures.onJobEnded(id);
    left.forEach(allocations::remove);
    left.forEach(this::retract);
    dependencies.onEnded(job, atMillis);
    scheduleCycle();
  }

  public void requestStop(TaskAssignment assignment) {
    assignment.requestStop();
    if (assignment.visibleToOwner()) {
      publish(assignment);
    }
  }

  public void markShardChanged(ShardId shard) {
    ShardView found = shards.get(shard);
    if (found != null) {
      found.markDirty();
      scheduleSend();
    }
  }

  private void maintain() {
    if (state != State.LEADING) {
      return;
    }
    loop.after(MAINTENANCE_INTERVAL, this::maintain);
    logShards();
    progress.maintain();
    grants.assign();
    for (ShardView shard : shards.values()) {
      if (shard.ackDue()) {
        acknowledgeStatus(shard);
      }
    }
    sendAssignments();
    scheduleCycle();
  }

  private void logShards() {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    for (ShardView shard : shards.values()) {
      LOG.debug(
          "{}: {}, reported {} ms ago, {} of {} machines usable, {}",
          shard.id(),
          shard.grant().map(Object::toString).orElse("not held"),
          loop.now().since(shard.statusAt()).toMillis(),
          availableCapacity.ofShard(shard, Resources.ZERO).size(),
          shard.machines().size(),
          shard.published().size() + " tasks");
    }
  }

  public void onOwnerSuspicion(OwnerSuspicion suspicion) {
    ShardView shard = shards.get(new ShardId(suspicion.getShard()));
    boolean current =
        shard != null
            && shard.grant().filter(g -> g.revision().value() == suspicion.getGrant()).isPresent();
    if (state == State.LEADING && current) {
      suspicion
          .getMachines()
          .forEach(machine -> shard.onSuspicion(new MachineId(machine), loop.now()));
    }
  }

  public void scheduleSend() {
    if (!sendScheduled) {
      sendScheduled = true;
      loop.post(
          () -> {
            sendScheduled = false;
            sendAssignments();
          });
    }
  }

  private void sendAssignments() {
    if (state != State.LEADING || !context.holdsValidLease().getAsBoolean()) {
      return;
    }
    for (ShardView shard : shards.values()) {
      if (shard.grant().isPresent() && (shard.resendDue(loop.now(), RESEND) || shard.dirty())) {
        context.send().accept(shard.grant().get().owner(), assignmentWriter.of(shard));
      }
    }
  }

  public void scheduleCycle() {
    if (cycleScheduled || state != State.LEADING) {
      return;
    }
    cycleScheduled = true;
    // A cycle that takes long on a busy processor comes less often: reports, renewals and
    // acceptance share the loop with it.
    Duration spacing = context.tunables().millis(Tunables.Key.CYCLE_MS);
    Duration rest = lastCycleDuration.multipliedBy(CYCLE_SHARE);
    spacing = rest.compareTo(spacing) > 0 ? rest : spacing;
    Duration since = loop.now().since(lastCycle);
    Duration wait = since.compareTo(spacing) >= 0 ? Duration.ofMillis(5) : spacing.minus(since);
    loop.after(
        wait,
        () -> {
          cycleScheduled = false;
          cycle();
        });
  }

  private void cycle() {
    if (state != State.LEADING || !context.holdsValidLease().getAsBoolean()) {
      return;
    }
    lastCycle = loop.now();
    dependencies.propagatePriorities();
    scheduling.run();
    lastCycleDuration = loop.now().since(lastCycle);
  }

  public JobRanking ranking() {
    return scheduling.ranking();
  }

  public ProgressPersister progress() {
    return progress;
  }

  private void sendSummary() {
    if (state != State.LEADING) {
      return;
    }
    loop.after(SUMMARY_INTERVAL, this::sendSummary);
    context
        .standby()
        .get()
        .ifPresent(
            node ->
                context
                    .estimates()
                    .next(term.value(), autoscaler.bootTimes(), node)
                    .ifPresent(advice -> context.send().accept(node, advice)));
    List<JobTaskCounts> counts = new ArrayList<>();
    for (Job job : jobs.values()) {
      // A job that waits is known to have none done and none running without being named.
      int done = job.doneCount();
      int running = job.runningCount();
      if (done + running > 0) {
        counts.add(new JobTaskCounts(job.spec().id().value(), done, running));
      }
    }
    JobSummary digest = new JobSummary(counts);
    context.send().accept(context.self(), digest);
    context
        .settings()
        .members()
        .forEach(member -> context.send().accept(new NodeId(member.label()), digest));
  }
}
