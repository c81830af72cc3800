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
import org.mulleinshift.protocol.StoreCodec.Guard;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.Answer;
import org.mulleinshift.store.KeyValueStore.Outcome;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.Responder;

/**
 * The users' requests, at any node. An acceptance or a cancellation is stored before it is told. An
 * answer that can still change is read from the store at the time of the question; in doubt the
 * answer is 503.
 */
public final class JobApi {
  private static final JobTaskCounts NOTHING_YET = new JobTaskCounts("", 0, 0);
  private static final int REMEMBERED_ENDS = 20_000;
  private static final int POLLS_AT_EASE = 2000;
  private static final int POLLS_WHEN_TIGHT = 64;
  private static final int POLLS_WHEN_SCARCE = 8;
  private static final int CANCEL_TRIES = 4;
  private static final int ACCEPT_TRIES = 4;
  private static final Duration BUSY_PAUSE = Duration.ofMillis(120);

  /** What is certain about a job. */
  private sealed interface Standing {
    record Active(JobRecord job) implements Standing {}

    record Ended(JobPhase phase) implements Standing {}

    record Never() implements Standing {}

    record Unknown() implements Standing {}
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final MachineTypeCatalog catalog;
  private final Map<String, PlatformSettings.Team> teams = new LinkedHashMap<>();
  private final int valueBytes;
  private final DependencyValidator accepted;
  private final DependencyListWriter lists;
  private final int retryAfter;
  private final Consumer<JobId> onCancelled;
  private final Map<JobId, JobPhase> ended = new BoundedMap<>(REMEMBERED_ENDS);
  private final Map<JobId, Standing> active = new HashMap<>();
  private final CascadingCancellations orphans = new CascadingCancellations();
  private final Consumer<Consumer<Boolean>> prover;
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
    this.valueBytes = cluster.state().minValueBytes();
    this.accepted =
        new DependencyValidator(store, job -> active.containsKey(job) || ended.containsKey(job));
    this.lists = new DependencyListWriter(loop, store, valueBytes, cluster.state().minTxnOps());
    this.retryAfter = retryAfter;
    this.prover = prover;
    this.pressure = pressure;
    this.onCancelled = onCancelled;
    cluster.teams().forEach(team -> teams.put(team.name(), team));
  }

  /** A digest names the jobs of which anything runs or is done; of all others nothing does. */
  public void onDigest(JobSummary digest) {
    Map<String, JobTaskCounts> next = new LinkedHashMap<>();
    digest.getCounts().forEach(count -> next.put(count.getJob(), count));
    counts = next;
    waiting = NOTHING_YET;
  }

  /** An active job as the view of them shows it; without a record it cannot be read. */
  public void onActive(JobId id, Optional<JobRecord> record) {
    active.put(id, record.<Standing>map(Standing.Active::new).orElse(new Standing.Unknown()));
    record.ifPresent(orphans::onActive);
  }

  public void onNoLongerActive(JobId id) {
    active.remove(id);
    accepted.accepted(id);
    orphans.onNoLongerActive(id);
  }

  public void submit(String body, Responder responder) {
    if (pressure.get() == MemoryPressure.SCARCE) {
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
      refuseUnlessKnown(body, 400, e.getMessage(), responder);
      return;
    }
    if (!catalog.known()) {
      unavailable(responder);
      return;
    }
    Optional<String> impossible = impossible(spec);
    if (impossible.isPresent()) {
      refuseUnlessKnown(body, 422, impossible.get(), responder);
      return;
    }
    if (awaited.contains(spec.id())) {
      refuseUnlessKnown(body, 422, "awaits itself", responder);
      return;
    }
    accepted.check(
        awaited,
        verdict -> {
          switch (verdict) {
            case ALL -> accept(spec, awaited, responder);
            case NEVER -> refuseUnlessKnown(body, 422, "awaits an unknown job", responder);
            case DOUBT -> unavailable(responder);
          }
        });
  }

  private Optional<String> impossible(JobSpec spec) {
    PlatformSettings.Team team = teams.get(spec.team().value());
    if (team == null) {
      return Optional.of("unknown team");
    }
    boolean fits =
        catalog.types().values().stream()
            .filter(type -> spec.allowsType(type.id()) && spec.perTask().fitsInto(type.size()))
            .anyMatch(type -> offered(type, spec));
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
  private static boolean offered(MachineType type, JobSpec spec) {
    return type.zones().isEmpty() || type.zones().stream().anyMatch(spec::allowsZone);
  }

  /** The outcome of an accepted job wins over a changed retry. */
  private void refuseUnlessKnown(String body, int status, String why, Responder responder) {
    Optional<JobId> id = jobIdOf(body);
    if (id.isEmpty()) {
      responder.respond(status, JobCodec.error(why));
      return;
    }
    lookUp(
        id.get(),
        standing -> {
          if (newest(id.get(), standing) instanceof Standing.Never) {
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
    Optional<JobPhase> known = over(spec.id());
    if (known.isPresent()) {
      respond(spec.id(), 200, known.get(), responder);
      return;
    }
    if (active.containsKey(spec.id())) {
      // Surely accepted: a transaction that must fail would take from the rate of changes.
      ask(spec.id(), standing -> answer(spec.id(), standing, responder), responder);
      return;
    }
    JsonNode value = JobRecord.value(spec, JobDependencies.of(awaited), loop.wallMillis(), false);
    if (StoreCodec.bytes(value) <= valueBytes) {
      accept(spec, value, ACCEPT_TRIES, responder);
    } else if (awaited.isEmpty()) {
      responder.respond(400, JobCodec.error("job too long"));
    } else {
      lists.write(
          spec.id(),
          awaited,
          stored -> {
            JsonNode shorter = JobRecord.value(spec, stored, loop.wallMillis(), false);
            accept(spec, shorter, ACCEPT_TRIES, responder);
          },
          outcome -> {
            if (outcome instanceof Outcome.Conflict) {
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
            new Guard(StoreKeys.active(spec.id()), new Revision(0)),
            new Guard(StoreKeys.ended(spec.id()), new Revision(0))),
        List.of(Write.put(StoreKeys.active(spec.id()), value)),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof Outcome.Committed) {
            accepted(spec.id(), responder);
          } else if (outcome instanceof Outcome.Conflict) {
            lookUp(spec.id(), standing -> answer(spec.id(), standing, responder));
          } else if (outcome instanceof Outcome.Busy && tries > 1) {
            // Surely not stored, and there may be room again in a moment.
            loop.after(BUSY_PAUSE, () -> accept(spec, value, tries - 1, responder));
          } else {
            // Given up on at once; the same id makes the user's retry harmless.
            unavailable(responder);
          }
        });
  }

  /** Another node may have told the job's user more before the answer to the commit came. */
  private void accepted(JobId id, Responder responder) {
    Standing now = newest(id, new Standing.Unknown());
    if (now instanceof Standing.Unknown) {
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
    Optional<JobPhase> known = over(id);
    if (known.isPresent()) {
      respond(id, 200, known.get(), responder);
      return;
    }
    ask(id, standing -> answerPoll(id, standing, responder), responder);
  }

  /** How the job stands at a moment after the question. */
  private void ask(JobId id, Consumer<Standing> then, Responder responder) {
    // Some always get through, however short memory is: a job's users must hear of it in the end.
    if (pollsWaiting >= maxPolls()) {
      unavailable(responder);
      return;
    }
    pollsWaiting++;
    // Polls share the proof that the view of active jobs is as fresh as they are: one read for each
    // would leave no room for acceptance at the state service's rate.
    prover.accept(
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
  private Optional<JobPhase> over(JobId id) {
    boolean cancelled = active.get(id) instanceof Standing.Active job && job.job().cancelled();
    return Optional.ofNullable(cancelled ? JobPhase.CANCELLED : ended.get(id));
  }

  /** How many polls may wait for a proof at a time. */
  private int maxPolls() {
    return switch (pressure.get()) {
      case EASE -> POLLS_AT_EASE;
      case TIGHT -> POLLS_WHEN_TIGHT;
      case SCARCE -> POLLS_WHEN_SCARCE;
    };
  }

  private void answerPoll(JobId id, Standing standing, Responder responder) {
    if (newest(id, standing) instanceof Standing.Never) {
      responder.respond(404, JobCodec.error("no such job"));
    } else {
      answer(id, standing, responder);
    }
  }

  public void withdraw(JobId id, Responder responder) {
    if (!JobCodec.isJobId(id.value())) {
      responder.respond(404, JobCodec.error("no such job"));
      return;
    }
    withdraw(id, CANCEL_TRIES, responder);
  }

  private void withdraw(JobId id, int tries, Responder responder) {
    if (tries == 0) {
      unavailable(responder);
      return;
    }
    lookUp(
        id,
        standing -> {
          if (standing instanceof Standing.Active active && !active.job().cancelled()) {
            cancel(active.job(), tries, responder);
          } else {
            answerPoll(id, standing, responder);
          }
        });
  }

  private void cancel(JobRecord job, int tries, Responder responder) {
    store.commit(
        List.of(new Guard(StoreKeys.active(job.id()), job.version())),
        List.of(Write.put(StoreKeys.active(job.id()), job.cancelledValue())),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof Outcome.Committed) {
            ended.put(job.id(), JobPhase.CANCELLED);
            onCancelled.accept(job.id());
            respond(job.id(), 200, JobPhase.CANCELLED, responder);
          } else if (outcome instanceof Outcome.Conflict) {
            withdraw(job.id(), tries - 1, responder);
          } else {
            unavailable(responder);
          }
        });
  }

  /** A job only ever moves from active to ended, so this order of reading cannot miss it. */
  private void lookUp(JobId id, Consumer<Standing> then) {
    Optional<JobPhase> known = over(id);
    if (known.isPresent()) {
      then.accept(new Standing.Ended(known.get()));
      return;
    }
    store.get(
        StoreKeys.active(id),
        KeyValueStore.Urgency.NORMAL,
        active -> {
          if (active instanceof Answer.Found<Item> found) {
            then.accept(
                JobRecord.read(found.value())
                    .<Standing>map(Standing.Active::new)
                    .orElse(new Standing.Unknown()));
          } else if (active instanceof Answer.Absent<Item>) {
            lookUpEnded(id, then);
          } else {
            then.accept(new Standing.Unknown());
          }
        });
  }

  private void lookUpEnded(JobId id, Consumer<Standing> then) {
    store.get(
        StoreKeys.ended(id),
        KeyValueStore.Urgency.NORMAL,
        answer -> then.accept(endOf(id, answer)));
  }

  private Standing endOf(JobId id, Answer<Item> answer) {
    if (answer instanceof Answer.Found<Item> found) {
      Optional<JobPhase> phase = JobRecord.endedPhase(found.value());
      phase.ifPresent(known -> ended.put(id, known));
      return phase.<Standing>map(Standing.Ended::new).orElse(new Standing.Unknown());
    }
    return answer instanceof Answer.Absent<Item> ? new Standing.Never() : new Standing.Unknown();
  }

  /**
   * The newer of what was read and what this node knows at the moment of answering: never accepted,
   * then accepted, then cancelled or done. All answers about a job pass here. What could not be
   * read stays unknown, unless the job is over: this node's view of it may be old.
   */
  private Standing newest(JobId id, Standing read) {
    Optional<JobPhase> known = over(id);
    if (known.isPresent()) {
      return new Standing.Ended(known.get());
    }
    boolean later = read instanceof Standing.Never && active.containsKey(id);
    return later ? active.get(id) : read;
  }

  private void answer(JobId id, Standing read, Responder responder) {
    Standing standing = newest(id, read);
    if (standing instanceof Standing.Active active) {
      if (active.job().cancelled()) {
        ended.put(id, JobPhase.CANCELLED);
        respond(id, 200, JobPhase.CANCELLED, responder);
      } else {
        if (orphans.contains(id)) {
          unavailable(responder);
          return;
        }
        JobTaskCounts count = counts.get(id.value());
        boolean running = count != null && count.getRunning() > 0;
        respond(id, 200, running ? JobPhase.RUNNING : JobPhase.PENDING, responder);
      }
    } else if (standing instanceof Standing.Ended end) {
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
