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
import org.mulleinshift.protocol.StoreCodec.Item;
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
import org.mulleinshift.store.KeyValueStore.Answer;
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
  private static final Duration UPKEEP = Duration.ofMillis(500);
  private static final Duration DIGEST = Duration.ofSeconds(1);
  private static final Duration RESEND = Duration.ofMillis(700);
  private static final int CYCLE_SHARE = 4;

  /** Share of the state service's requests that transactions of the leader use. */
  private static final double JOURNAL_REQUESTS = 0.2;

  /** What ends a job is stored as one. */
  private static final int MIN_BATCH = 2;

  /** States of a term. */
  enum State {
    LOADING,
    LEADING,
    RETIRED
  }

  /** What the leader needs of its node. */
  public record Surroundings(
      EventLoop loop,
      KeyValueStore store,
      PlatformSettings settings,
      Tunables tunables,
      NodeId self,
      ClusterView view,
      MachineTypeCatalog catalog,
      RunTimeEstimator runTimes,
      EstimateReplicator advice,
      FeatureGates builds,
      Supplier<Optional<NodeId>> standby,
      Function<NodeId, Duration> peerSilence,
      Function<NodeId, WorkerReachability.State> hearing,
      Predicate<NodeId> storeLost,
      BiConsumer<NodeId, Object> send,
      BooleanSupplier certain,
      Runnable resign) {}

  private final Surroundings context;
  private final EventLoop loop;
  private final Revision term;
  private final TransactionBatcher batcher;
  private final ProgressPersister progress;
  private final DependencyTracker chains;
  private final Map<JobId, Job> jobs = new TreeMap<>();
  private final Map<ShardId, ShardView> shards = new TreeMap<>();
  private final TeamQuotas quota;
  private final AvailableCapacity freeCapacity;
  private final AssignmentWriter assignments;
  private final FailureAttribution blame;
  private final AllocationIndex occupancy = new AllocationIndex();
  private final Autoscaler fleet;
  private final CapacityReservation headroom;
  private final SchedulingCycle scheduling;
  private final ShardGrants grants;
  private final List<JobRecord> early = new ArrayList<>();
  private final UnreadableJobs unreadable = new UnreadableJobs();
  private State state = State.LOADING;
  private Revision loadedAt = new Revision(0);
  private MonotonicTime lastCycle;
  private Duration cycleTook = Duration.ZERO;
  private boolean cyclePlanned;
  private boolean sendPlanned;

  public Leader(Surroundings context, Autoscaler.Cloud cloud, Revision term) {
    this.context = context;
    this.loop = context.loop();
    this.term = term;
    this.lastCycle = loop.now();
    this.batcher =
        new TransactionBatcher(
            loop,
            context.store(),
            term,
            batch(context.settings().cluster().state()),
            spacing(context.settings().cluster().state()),
            context.resign());
    this.progress =
        new ProgressPersister(this, context, batcher, batch(context.settings().cluster().state()));
    this.chains = new DependencyTracker(this, context);
    this.quota = new TeamQuotas(context.settings().cluster().teams());
    this.freeCapacity = new AvailableCapacity(this, context.catalog());
    this.assignments = new AssignmentWriter(this, loop, term);
    this.blame =
        new FailureAttribution(
            context.tunables().count(Tunables.Key.FAULTY_AFTER),
            context.tunables().seconds(Tunables.Key.ERROR_PAUSE_S));
    this.headroom =
        new CapacityReservation(
            context.settings().cluster().objectives(),
            context.tunables().number(Tunables.Key.HEADROOM_JOBS),
            context.tunables().seconds(Tunables.Key.HEADROOM_LASTS_S));
    this.scheduling = new SchedulingCycle(this, context, term, freeCapacity);
    this.fleet = new Autoscaler(this, context, cloud, term);
    this.grants = new ShardGrants(this, context, batcher);
  }

  /** A batch above what the service lets through at once would be refused for ever. */
  private static int batch(PlatformSettings.State limits) {
    int burst = (int) (limits.writesPerSecond() * limits.writesLeft() / 2);
    return Math.min(limits.minTxnOps(), Math.max(MIN_BATCH, burst));
  }

  /** Transactions follow each other so that the other requests find room. */
  private static Duration spacing(PlatformSettings.State limits) {
    double requests = limits.requestsPerSecond() * limits.requestsLeft() * JOURNAL_REQUESTS;
    return Duration.ofNanos((long) (1e9 / requests));
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    LOG.info("term {}: {} -> {}", term, state, next);
    state = next;
  }

  public void start() {
    load(StoreKeys.ACTIVE, this::loadJobs, this::awaitControlView);
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
        .page(
            prefix,
            after,
            answer -> {
              if (state != State.LOADING) {
                return;
              }
              if (!(answer instanceof Answer.Found<StoreCodec.Range> found)) {
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
    for (Item item : page.items()) {
      Optional<JobRecord> record = JobRecord.read(item);
      record.ifPresent(chains::admit);
      if (record.isEmpty()) {
        onUnreadable(new JobId(item.key().substring(StoreKeys.ACTIVE.length())), item.value());
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
    putAside(id, record, "its record");
    shards.values().forEach(ShardView::changed);
    sendSoon();
  }

  /** Owners hear no more of the job's tasks, and leave alone what runs of them. */
  public void putAside(JobId id, JsonNode record, String why) {
    unreadable.add(id, record, why);
    Job job = jobs.remove(id);
    chains.drop(id);
    if (job != null) {
      for (TaskAssignment assignment : job.assignments()) {
        unreadable.mayBeAt(assignment.shard());
        if (state == State.LEADING) {
          occupancy.leave(assignment);
          untell(assignment);
        }
      }
    }
  }

  /** The view must show our own term: then it shows all that earlier leaders wrote. */
  private void awaitControlView() {
    if (state != State.LOADING) {
      return;
    }
    boolean current =
        context.view().leader().filter(leader -> leader.term().equals(term)).isPresent();
    if (!current || !context.catalog().known()) {
      loop.after(Duration.ofMillis(50), this::awaitControlView);
      return;
    }
    context.view().shards().forEach(this::adoptShard);
    load(StoreKeys.LOG, progress.loader()::loadSegments, this::loadParts);
  }

  private void loadParts() {
    load(
        StoreKeys.PROGRESS,
        progress.loader()::loadParts,
        () -> load(StoreKeys.RENTALS, this::loadRentals, this::begin));
  }

  private void adoptShard(ShardId id, ClusterView.ShardRecord record) {
    ShardView shard = new ShardView(id, record.zone(), loop.now());
    shard.machines().putAll(record.machines());
    shard.beyond(record.beyond());
    shard.lastOwner(record.lastOwner());
    shards.put(id, shard);
    batcher.known(StoreKeys.shard(id), record.version());
  }

  private void loadRentals(StoreCodec.Range page) {
    fleet.rentals().load(page.items(), batcher);
  }

  public void tell(TaskAssignment assignment) {
    ShardView shard = shards.get(assignment.shard());
    if (shard != null) {
      shard.tell(assignment);
      sendSoon();
    }
  }

  public void untell(TaskAssignment assignment) {
    ShardView shard = shards.get(assignment.shard());
    if (shard != null) {
      shard.untell(assignment);
      sendSoon();
    }
  }

  public ZoneId zoneOf(ShardId shard) {
    ShardView found = shards.get(shard);
    return found != null ? found.zone() : new ZoneId(shard.value());
  }

  private void begin() {
    progress.loader().finish();
    transitionTo(State.LEADING);
    context.advice().apply(fleet.boots());
    jobs.values().forEach(this::enter);
    chains.begin();
    onControlChange();
    early.forEach(this::onJob);
    early.clear();
    List.copyOf(jobs.values()).forEach(this::settle);
    upkeep();
    sendDigest();
    fleet.start();
    cycleSoon();
  }

  /** Takes up what the store says of a job's tasks. */
  private void enter(Job job) {
    job.assignments().forEach(occupancy::enter);
    job.assignments().forEach(this::tell);
  }

  /** A job that may run, or is to end; one that was held comes here once it is not any more. */
  public void take(Job job) {
    jobs.put(job.spec().id(), job);
    if (state == State.LEADING) {
      enter(job);
      headroom.arrived(job.spec(), loop.now());
      cycleSoon();
    }
  }

  /** A job that is not over, held or not. */
  public Optional<Job> known(JobId id) {
    return Optional.ofNullable(jobs.get(id)).or(() -> chains.held(id));
  }

  public boolean leading() {
    return state == State.LEADING;
  }

  /** The term goes on, or will. */
  public boolean serving() {
    return state != State.RETIRED;
  }

  public DependencyTracker chains() {
    return chains;
  }

  public TransactionBatcher batcher() {
    return batcher;
  }

  public CapacityReservation headroom() {
    return headroom;
  }

  public Map<ShardId, ShardView> shards() {
    return shards;
  }

  public Map<JobId, Job> jobs() {
    return jobs;
  }

  public Autoscaler fleet() {
    return fleet;
  }

  public AllocationIndex occupancy() {
    return occupancy;
  }

  /** A change of an active job in the store, as the watch brings it. */
  public void onJob(JobRecord record) {
    if (state == State.LOADING) {
      // What is accepted while a new leader loads may be in no page that it read: it waits.
      early.add(record);
      return;
    }
    if (state != State.LEADING
        || record.version().compareTo(loadedAt) <= 0
        || unreadable.has(record.id())) {
      return;
    }
    Job job = known(record.id()).orElse(null);
    if (job == null) {
      chains.admit(record);
    } else if (record.version().compareTo(job.version()) > 0) {
      if (job.state() == Job.State.HELD) {
        chains.update(job, record);
      } else {
        job.update(record);
        settle(job);
      }
    }
    cycleSoon();
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
        batcher.forgotten(StoreKeys.grant(shard.id()));
      } else {
        batcher.known(StoreKeys.grant(shard.id()), seen.revision());
      }
    }
    grants.assign();
    sendSoon();
  }

  public void onShardReport(ShardStatus report) {
    if (state != State.LEADING) {
      return;
    }
    ShardView shard = shards.get(new ShardId(report.getShard()));
    if (shard == null
        || shard.grant().filter(g -> g.revision().value() == report.getGrant()).isEmpty()) {
      return;
    }
    if (report.getSeenTerm() == term.value()) {
      shard.confirmed(report.getSeenVersion(), loop.now());
    }
    if (!shard.continues(report)) {
      // A report went missing, or this leader is new: the owner tells again from what is known.
      confirmReports(shard);
      return;
    }
    if (report.getSequence() <= shard.lastSequence()) {
      return;
    }
    List<MachineId> named = shard.reported(report, loop.now());
    for (TaskStatus task : report.getTasks()) {
      onTask(task);
    }
    named.forEach(machine -> fleet.onReport(shard, machine));
    if (!named.isEmpty() || !report.getTasks().isEmpty()) {
      cycleSoon();
    }
  }

  private void confirmReports(ShardView shard) {
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

  public void onStranger(UnknownWorkerReport report) {
    if (state == State.LEADING) {
      fleet.onStranger(report);
    }
  }

  private void onTask(TaskStatus report) {
    Job job = jobs.get(new JobId(report.getJob()));
    TaskAssignment assignment = job == null ? null : job.assignment(report.getIndex()).orElse(null);
    if (assignment == null
        || assignment.attempt().value() != report.getAttempt()
        || assignment.state() == TaskAssignment.State.ENDED) {
      return;
    }
    occupancy.leave(assignment);
    onTask(report, job, assignment);
    occupancy.enter(assignment);
  }

  private void onTask(TaskStatus report, Job job, TaskAssignment assignment) {
    MachineId machine = new MachineId(report.getMachine());
    MonotonicTime since = loop.now().minus(Duration.ofMillis(report.getRanMs()));
    switch (TaskPhase.fromWireName(report.getPhase())) {
      case NEW -> assignment.unplaced();
      case STARTING, FETCHING -> assignment.placed(machine);
      case RUNNING, SAVING -> {
        assignment.running(machine, since);
        job.begun(loop.wallMillis());
      }
      case DONE -> {
        blame.succeeded(job, machine);
        double seconds = report.getRanMs() / 1000.0;
        context.runTimes().finished(job.spec(), seconds);
        job.taskDone(assignment, seconds);
        changed(job, report.getIndex());
      }
      case FAILED -> {
        blame.failed(job, machine, loop.now());
        touch(assignment.shard());
        job.countFailure();
        // Spaced out, so that a job that fails everywhere does not keep the fleet busy.
        double pause =
            context.tunables().number(Tunables.Key.ERROR_PAUSE_S)
                * Math.min(12, Math.max(1, job.failures() / (double) job.spec().tasks()));
        returned(job, assignment, Optional.of(loop.now().plusMillis((long) (pause * 1000))));
      }
      case REJECTED -> returned(job, assignment, Optional.of(loop.now().plusMillis(500)));
      case STOPPED, LOST -> returned(job, assignment, Optional.empty());
    }
  }

  private void returned(Job job, TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    job.taskReturned(assignment, notBefore);
    changed(job, assignment.task().index());
  }

  public TeamQuotas quota() {
    return quota;
  }

  /** Takes no new task. */
  public boolean closed(MachineId machine) {
    return fleet.closed(machine) || blame.faulty(machine) || blame.suspect(machine, loop.now());
  }

  /** Jobs that this build can't read. */
  public UnreadableJobs unreadable() {
    return unreadable;
  }

  /** What each team has out, or may have. */
  public Map<TeamId, Resources> use() {
    Map<TeamId, Resources> use = TeamQuotas.use(jobs.values());
    unreadable.addUse(use);
    return use;
  }

  /** Whether a task is, may be about to be, or may unknown to this build be on the machine. */
  public boolean busy(MachineId machine, ShardId shard) {
    return occupancy.busy(machine, shard) || unreadable.mayBeIn(shard);
  }

  public FailureAttribution blame() {
    return blame;
  }

  private void changed(Job job, int index) {
    progress.store(job, index, false);
    settle(job);
  }

  /** Ends the job if nothing is left of it; stops its tasks if it was cancelled. */
  public void settle(Job job) {
    if (job.state() == Job.State.CANCELLING) {
      chains.cancelledWith(job.spec().id());
      for (TaskAssignment assignment : job.assignments()) {
        if (!assignment.stopRequested()) {
          requestStop(assignment);
        }
      }
    }
    boolean over = job.state() == Job.State.ACTIVE ? job.complete() : job.gone();
    if (over) {
      progress.end(job);
    }
  }

  /** The job's end is stored; these were the tasks that the store still knew of. */
  public void ended(Job job, List<TaskAssignment> left, long atMillis) {
    JobId id = job.spec().id();
    jobs.remove(id);
    blame.over(id);
    left.forEach(occupancy::leave);
    left.forEach(this::untell);
    chains.ended(job, atMillis);
    cycleSoon();
  }

  public void requestStop(TaskAssignment assignment) {
    assignment.requestStop();
    if (assignment.told()) {
      tell(assignment);
    }
  }

  public void touch(ShardId shard) {
    ShardView found = shards.get(shard);
    if (found != null) {
      found.changed();
      sendSoon();
    }
  }

  private void upkeep() {
    if (state != State.LEADING) {
      return;
    }
    loop.after(UPKEEP, this::upkeep);
    describeShards();
    progress.upkeep();
    grants.assign();
    for (ShardView shard : shards.values()) {
      if (shard.sequenceToConfirm()) {
        confirmReports(shard);
      }
    }
    sendAssignments();
    cycleSoon();
  }

  private void describeShards() {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    for (ShardView shard : shards.values()) {
      LOG.debug(
          "{}: {}, reported {} ms ago, {} of {} machines usable, {}",
          shard.id(),
          shard.grant().map(Object::toString).orElse("not held"),
          loop.now().since(shard.reportedAt()).toMillis(),
          freeCapacity.capacitiesOf(shard, Resources.ZERO).size(),
          shard.machines().size(),
          shard.told().size() + " tasks");
    }
  }

  public void onSuspicion(OwnerSuspicion suspicion) {
    ShardView shard = shards.get(new ShardId(suspicion.getShard()));
    boolean current =
        shard != null
            && shard.grant().filter(g -> g.revision().value() == suspicion.getGrant()).isPresent();
    if (state == State.LEADING && current) {
      suspicion.getMachines().forEach(machine -> shard.knocked(new MachineId(machine), loop.now()));
    }
  }

  public void sendSoon() {
    if (!sendPlanned) {
      sendPlanned = true;
      loop.post(
          () -> {
            sendPlanned = false;
            sendAssignments();
          });
    }
  }

  private void sendAssignments() {
    if (state != State.LEADING || !context.certain().getAsBoolean()) {
      return;
    }
    for (ShardView shard : shards.values()) {
      if (shard.grant().isPresent() && (shard.lost(loop.now(), RESEND) || shard.dirty())) {
        context.send().accept(shard.grant().get().owner(), assignments.of(shard));
      }
    }
  }

  public void cycleSoon() {
    if (cyclePlanned || state != State.LEADING) {
      return;
    }
    cyclePlanned = true;
    // A cycle that takes long on a busy processor comes less often: reports, renewals and
    // acceptance share the loop with it.
    Duration spacing = context.tunables().millis(Tunables.Key.CYCLE_MS);
    Duration rest = cycleTook.multipliedBy(CYCLE_SHARE);
    spacing = rest.compareTo(spacing) > 0 ? rest : spacing;
    Duration since = loop.now().since(lastCycle);
    Duration wait = since.compareTo(spacing) >= 0 ? Duration.ofMillis(5) : spacing.minus(since);
    loop.after(
        wait,
        () -> {
          cyclePlanned = false;
          cycle();
        });
  }

  private void cycle() {
    if (state != State.LEADING || !context.certain().getAsBoolean()) {
      return;
    }
    lastCycle = loop.now();
    chains.inherit();
    scheduling.cycle();
    cycleTook = loop.now().since(lastCycle);
  }

  public JobRanking ranking() {
    return scheduling.ranking();
  }

  public ProgressPersister progress() {
    return progress;
  }

  private void sendDigest() {
    if (state != State.LEADING) {
      return;
    }
    loop.after(DIGEST, this::sendDigest);
    context
        .standby()
        .get()
        .ifPresent(
            node ->
                context
                    .advice()
                    .next(term.value(), fleet.boots(), node)
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
