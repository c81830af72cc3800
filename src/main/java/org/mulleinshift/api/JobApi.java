package org.mulleinshift.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mulleinshift.dependencies.CascadingCancellations;
import org.mulleinshift.dependencies.DependencyListWriter;
import org.mulleinshift.dependencies.DependencyValidator;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.memory.MemoryPressure;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.CommitResult;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.Responder;

/**
 * The users' requests, at any node. An acceptance or a cancellation is stored before it is told. An
 * answer that can still change is read from the store at the time of the question; in doubt the
 * answer is 503.
 */
public final class JobApi {
  private static final JobTaskCounts NO_TASKS = new JobTaskCounts("", 0, 0);
  private static final int MAX_CACHED_ENDS = 20_000;
  private static final int MAX_POLLS = 2000;
  private static final int MAX_POLLS_HIGH_PRESSURE = 64;
  private static final int MAX_POLLS_CRITICAL_PRESSURE = 8;
  private static final int CANCEL_TRIES = 4;
  private static final int ACCEPT_TRIES = 4;
  private static final Duration BUSY_PAUSE = Duration.ofMillis(120);

  /** What is certain about a job. */
  private sealed interface JobStatus {
    record Active(JobRecord job) implements JobStatus {}

    record Ended(JobPhase phase) implements JobStatus {}

    record NeverAccepted() implements JobStatus {}

    record Unknown() implements JobStatus {}
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final MachineTypeCatalog catalog;
  private final Map<String, PlatformSettings.Team> teams = new LinkedHashMap<>();
  private final int valueBytes;
  private final DependencyValidator dependencyValidator;
  private final DependencyListWriter dependencyLists;
  private final int retryAfter;
  private final Consumer<JobId> onCancelled;
  private final Map<JobId, JobPhase> ended = new BoundedMap<>(MAX_CACHED_ENDS);
  private final Map<JobId, JobStatus> active = new HashMap<>();
  private final CascadingCancellations cascadingCancellations = new CascadingCancellations();
  private final Consumer<Consumer<Boolean>> currentViewCheck;
  private final Supplier<MemoryPressure> pressure;
  private int pollsWaiting;
  private Map<String, JobTaskCounts> counts = Map.of();

  /** What is told of a job that no digest names; nothing before the first. */
  private JobTaskCounts waiting;

  public JobApi(
      EventLoop loop,
      KeyValueStore store,
      MachineTypeCatalog catalog,
      PlatformSettings.Cluster cluster,
      int retryAfter,
      Consumer<Consumer<Boolean>> prover,
      Supplier<MemoryPressure> pressure,
      Consumer<JobId> onCancelled) {
    this.loop = loop;
    this.store = store;
    this.catalog = catalog;
    this.valueBytes = cluster.store().minValueBytes();
    this.dependencyValidator =
        new DependencyValidator(store, job -> active.containsKey(job) || ended.containsKey(job));
    this.dependencyLists =
        new DependencyListWriter(
            loop, store, valueBytes, cluster.store().minTransactionOperations());
    this.retryAfter = retryAfter;
    this.currentViewCheck = prover;
    this.pressure = pressure;
    this.onCancelled = onCancelled;
    cluster.teams().forEach(team -> teams.put(team.name(), team));
  }

  /** A digest names the jobs of which anything runs or is done; of all others nothing does. */
  public void onSummary(JobSummary digest) {
    Map<String, JobTaskCounts> next = new LinkedHashMap<>();
    digest.getCounts().forEach(count -> next.put(count.getJob(), count));
    counts = next;
    waiting = NO_TASKS;
  }

  /** An active job as the view of them shows it; without a record it cannot be read. */
  public void onActive(JobId id, Optional<JobRecord> record) {
    active.put(id, record.<JobStatus>map(JobStatus.Active::new).orElse(new JobStatus.Unknown()));
    record.ifPresent(cascadingCancellations::onActive);
  }

  public void onNoLongerActive(JobId id) {
    active.remove(id);
    dependencyValidator.markAccepted(id);
    cascadingCancellations.onNoLongerActive(id);
  }

  public void submit(String body, Responder responder) {
    if (pressure.get() == MemoryPressure.CRITICAL) {
      unavailable(responder);
      return;
    }
    JobSpec spec;
    List<JobId> awaited;
    try {
      JsonNode submission = Json.parseObject(body);
      spec = JobCodec.parse(submission);
      awaited = JobCodec.awaits(submission);
    } catch (MalformedMessageException e) {
      rejectUnlessKnown(body, 400, e.getMessage(), responder);
      return;
    }
    if (!catalog.isLoaded()) {
      unavailable(responder);
      return;
    }
    Optional<String> impossible = unsatisfiableReason(spec);
    if (impossible.isPresent()) {
      rejectUnlessKnown(body, 422, impossible.get(), responder);
      return;
    }
    if (awaited.contains(spec.id())) {
      rejectUnlessKnown(body, 422, "awaits itself", responder);
      return;
    }
    dependencyValidator.check(
        awaited,
        verdict -> {
          switch (verdict) {
            case ALL_ACCEPTED -> accept(spec, awaited, responder);
            case UNKNOWN_JOB -> rejectUnlessKnown(body, 422, "awaits an unknown job", responder);
            case UNDECIDED -> unavailable(responder);
          }
        });
  }

  private Optional<String> unsatisfiableReason(JobSpec spec) {
    PlatformSettings.Team team = teams.get(spec.team().value());
    if (team == null) {
      return Optional.of("unknown team");
    }
    boolean fits =
        catalog.types().values().stream()
            .filter(type -> spec.allowsType(type.id()) && spec.perTask().fitsInto(type.size()))
            .anyMatch(type -> isOffered(type, spec));
    if (!fits) {
      return Optional.of("a task fits no allowed machine type");
    }
    int atOnce = spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
    boolean over =
        (team.cpusMax() > 0 && spec.perTask().cpus() * atOnce > team.cpusMax() + 1e-6)
            || (team.gpusMax() > 0 && spec.perTask().gpus() * atOnce > team.gpusMax() + 1e-6);
    return over ? Optional.of("more than the team's limit") : Optional.empty();
  }

  /** Whether the type is to be had in a zone that the job allows, as far as the catalog says. */
  private static boolean isOffered(MachineType type, JobSpec spec) {
    return type.zones().isEmpty() || type.zones().stream().anyMatch(spec::allowsZone);
  }

  /** The outcome of an accepted job wins over a changed retry. */
  private void rejectUnlessKnown(String body, int status, String why, Responder responder) {
    Optional<JobId> id = jobIdOf(body);
    if (id.isEmpty()) {
      responder.respond(status, JobCodec.error(why));
      return;
    }
    lookUp(
        id.get(),
        standing -> {
          if (newestStatus(id.get(), standing) instanceof JobStatus.NeverAccepted) {
            responder.respond(status, JobCodec.error(why));
          } else {
            answer(id.get(), standing, responder);
          }
        });
  }

  private static Optional<JobId> jobIdOf(String body) {
    try {
      String id = Json.parseObject(body).path("ref").asText("");
      return JobCodec.isJobId(id) ? Optional.of(new JobId(id)) : Optional.empty();
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private void accept(JobSpec spec, List<JobId> awaited, Responder responder) {
    Optional<JobPhase> known = terminalPhase(spec.id());
    if (known.isPresent()) {
      respond(spec.id(), 200, known.get(), responder);
      return;
    }
    if (active.containsKey(spec.id())) {
      // Surely accepted: a transaction that must fail would take from the rate of changes.
      readCurrent(spec.id(), standing -> answer(spec.id(), standing, responder), responder);
      return;
    }
    JsonNode value = JobRecord.value(spec, JobDependencies.of(awaited), loop.wallMillis(), false);
    if (StoreCodec.bytes(value) <= valueBytes) {
      accept(spec, value, ACCEPT_TRIES, responder);
    } else if (awaited.isEmpty()) {
      responder.respond(400, JobCodec.error("job too long"));
    } else {
      dependencyLists.write(
          spec.id(),
          awaited,
          stored -> {
            JsonNode shorter = JobRecord.value(spec, stored, loop.wallMillis(), false);
            accept(spec, shorter, ACCEPT_TRIES, responder);
          },
          outcome -> {
            if (outcome instanceof CommitResult.Conflict) {
              lookUp(spec.id(), standing -> answer(spec.id(), standing, responder));
            } else {
              unavailable(responder);
            }
          });
    }
  }

  private void accept(JobSpec spec, JsonNode value, int tries, Responder responder) {
    store.commit(
        List.of(
            new Compare(StoreKeys.activeJob(spec.id()), new Revision(0)),
            new Compare(StoreKeys.endedJob(spec.id()), new Revision(0))),
        List.of(Write.put(StoreKeys.activeJob(spec.id()), value)),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            dependencyValidator(spec.id(), responder);
          } else if (outcome instanceof CommitResult.Conflict) {
            lookUp(spec.id(), standing -> answer(spec.id(), standing, responder));
          } else if (outcome instanceof CommitResult.Busy && tries > 1) {
            // Surely not stored, and there may be room again in a moment.
            loop.after(BUSY_PAUSE, () -> accept(spec, value, tries - 1, responder));
          } else {
            // Given up on at once; the same id makes the user's retry harmless.
            unavailable(responder);
          }
        });
  }

  /** Another node may have told the job's user more before the answer to the commit came. */
  private void dependencyValidator(JobId id, Responder responder) {
    JobStatus now = newestStatus(id, new JobStatus.Unknown());
    if (now instanceof JobStatus.Unknown) {
      respond(id, 201, JobPhase.PENDING, responder);
    } else {
      answer(id, now, responder);
    }
  }

  public void poll(JobId id, Responder responder) {
    if (!JobCodec.isJobId(id.value())) {
      responder.respond(404, JobCodec.error("no such job"));
      return;
    }
    Optional<JobPhase> known = terminalPhase(id);
    if (known.isPresent()) {
      respond(id, 200, known.get(), responder);
      return;
    }
    readCurrent(id, standing -> answerPoll(id, standing, responder), responder);
  }

  /** How the job stands at a moment after the question. */
  private void readCurrent(JobId id, Consumer<JobStatus> then, Responder responder) {
    // Some always get through, however short memory is: a job's users must hear of it in the end.
    if (pollsWaiting >= maxPolls()) {
      unavailable(responder);
      return;
    }
    pollsWaiting++;
    // Polls share the proof that the view of active jobs is as fresh as they are: one read for each
    // would leave no room for acceptance at the state service's rate.
    currentViewCheck.accept(
        proven -> {
          pollsWaiting--;
          if (!proven) {
            unavailable(responder);
          } else if (active.containsKey(id)) {
            then.accept(active.get(id));
          } else {
            lookUpEnded(id, then);
          }
        });
  }

  /** What is final and known here. */
  private Optional<JobPhase> terminalPhase(JobId id) {
    boolean cancelled = active.get(id) instanceof JobStatus.Active job && job.job().cancelled();
    return Optional.ofNullable(cancelled ? JobPhase.CANCELLED : ended.get(id));
  }

  /** How many polls may wait for a proof at a time. */
  private int maxPolls() {
    return switch (pressure.get()) {
      case NORMAL -> MAX_POLLS;
      case HIGH -> MAX_POLLS_HIGH_PRESSURE;
      case CRITICAL -> MAX_POLLS_CRITICAL_PRESSURE;
    };
  }

  private void answerPoll(JobId id, JobStatus standing, Responder responder) {
    if (newestStatus(id, standing) instanceof JobStatus.NeverAccepted) {
      responder.respond(404, JobCodec.error("no such job"));
    } else {
      answer(id, standing, responder);
    }
  }

  public void cancelJob(JobId id, Responder responder) {
    if (!JobCodec.isJobId(id.value())) {
      responder.respond(404, JobCodec.error("no such job"));
      return;
    }
    cancelJob(id, CANCEL_TRIES, responder);
  }

  private void cancelJob(JobId id, int tries, Responder responder) {
    if (tries == 0) {
      unavailable(responder);
      return;
    }
    lookUp(
        id,
        standing -> {
          if (standing instanceof JobStatus.Active active && !active.job().cancelled()) {
            cancel(active.job(), tries, responder);
          } else {
            answerPoll(id, standing, responder);
          }
        });
  }

  private void cancel(JobRecord job, int tries, Responder responder) {
    store.commit(
        List.of(new Compare(StoreKeys.activeJob(job.id()), job.revision())),
        List.of(Write.put(StoreKeys.activeJob(job.id()), job.cancelledValue())),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            ended.put(job.id(), JobPhase.CANCELLED);
            onCancelled.accept(job.id());
            respond(job.id(), 200, JobPhase.CANCELLED, responder);
          } else if (outcome instanceof CommitResult.Conflict) {
            cancelJob(job.id(), tries - 1, responder);
          } else {
            unavailable(responder);
          }
        });
  }

  /** A job only ever moves from active to ended, so this order of reading cannot miss it. */
  private void lookUp(JobId id, Consumer<JobStatus> then) {
    Optional<JobPhase> known = terminalPhase(id);
    if (known.isPresent()) {
      then.accept(new JobStatus.Ended(known.get()));
      return;
    }
    store.get(
        StoreKeys.activeJob(id),
        KeyValueStore.Urgency.NORMAL,
        active -> {
          if (active instanceof ReadResult.Found<KeyValue> found) {
            then.accept(
                JobRecord.read(found.value())
                    .<JobStatus>map(JobStatus.Active::new)
                    .orElse(new JobStatus.Unknown()));
          } else if (active instanceof ReadResult.Absent<KeyValue>) {
            lookUpEnded(id, then);
          } else {
            then.accept(new JobStatus.Unknown());
          }
        });
  }

  private void lookUpEnded(JobId id, Consumer<JobStatus> then) {
    store.get(
        StoreKeys.endedJob(id),
        KeyValueStore.Urgency.NORMAL,
        answer -> then.accept(parseEnd(id, answer)));
  }

  private JobStatus parseEnd(JobId id, ReadResult<KeyValue> answer) {
    if (answer instanceof ReadResult.Found<KeyValue> found) {
      Optional<JobPhase> phase = JobRecord.endedPhase(found.value());
      phase.ifPresent(known -> ended.put(id, known));
      return phase.<JobStatus>map(JobStatus.Ended::new).orElse(new JobStatus.Unknown());
    }
    return answer instanceof ReadResult.Absent<KeyValue>
        ? new JobStatus.NeverAccepted()
        : new JobStatus.Unknown();
  }

  /**
   * The newer of what was read and what this node knows at the moment of answering: never accepted,
   * then accepted, then cancelled or done. All answers about a job pass here. What could not be
   * read stays unknown, unless the job is over: this node's view of it may be old.
   */
  private JobStatus newestStatus(JobId id, JobStatus read) {
    Optional<JobPhase> known = terminalPhase(id);
    if (known.isPresent()) {
      return new JobStatus.Ended(known.get());
    }
    boolean later = read instanceof JobStatus.NeverAccepted && active.containsKey(id);
    return later ? active.get(id) : read;
  }

  private void answer(JobId id, JobStatus read, Responder responder) {
    JobStatus standing = newestStatus(id, read);
    if (standing instanceof JobStatus.Active active) {
      if (active.job().cancelled()) {
        ended.put(id, JobPhase.CANCELLED);
        respond(id, 200, JobPhase.CANCELLED, responder);
      } else {
        if (cascadingCancellations.contains(id)) {
          unavailable(responder);
          return;
        }
        JobTaskCounts count = counts.get(id.value());
        boolean running = count != null && count.getRunning() > 0;
        respond(id, 200, running ? JobPhase.RUNNING : JobPhase.PENDING, responder);
      }
    } else if (standing instanceof JobStatus.Ended end) {
      respond(id, 200, end.phase(), responder);
    } else {
      unavailable(responder);
    }
  }

  private void respond(JobId id, int status, JobPhase phase, Responder responder) {
    JobTaskCounts count = phase.terminal() ? null : counts.getOrDefault(id.value(), waiting);
    responder.respond(
        status,
        JobCodec.view(
            id,
            phase,
            count == null ? OptionalInt.empty() : OptionalInt.of(count.getDone()),
            count == null ? OptionalInt.empty() : OptionalInt.of(count.getRunning())));
  }

  private void unavailable(Responder responder) {
    responder.respondLater(503, JobCodec.error("try again"), retryAfter);
  }
}
