package org.mulleinshift.dependencies;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from the store what the leader does not have in memory about dependencies: how inactive
 * jobs ended, and dependency lists that did not fit into a job's record. Only a few reads run
 * concurrently, at a lower urgency than requests that a client waits for.
 */
final class DependencyLoader {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyLoader.class);
  private static final int MAX_CONCURRENT_READS = 8;
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);
  private static final Duration MIN_LOGGED_DURATION = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier termOngoing;
  private final BiConsumer<JobId, JobEnd> onEnded;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private final Set<JobId> endsBeingRead = new HashSet<>();
  private int readsInFlight;
  private int readsInBurst;
  private int retriesInBurst;
  private MonotonicTime burstStartedAt;

  /**
   * Creates a loader for one term.
   *
   * @param termOngoing whether the term has not ended; once it has, queued reads are dropped
   * @param onEnded called for each job whose end was read
   */
  DependencyLoader(
      EventLoop loop,
      KeyValueStore store,
      BooleanSupplier termOngoing,
      BiConsumer<JobId, JobEnd> onEnded) {
    this.loop = loop;
    this.store = store;
    this.termOngoing = termOngoing;
    this.onEnded = onEnded;
    this.burstStartedAt = loop.now();
  }

  /** Reads how an inactive job ended, unless a read of it is already queued or in flight. */
  void loadEnd(JobId job) {
    if (endsBeingRead.add(job)) {
      enqueue(() -> readEnd(job));
    }
  }

  private void readEnd(JobId job) {
    read(
        StoreKeys.endedJob(job),
        item -> {
          endsBeingRead.remove(job);
          item.flatMap(DependencyLoader::parseEnd).ifPresent(end -> onEnded.accept(job, end));
        });
  }

  /** Empty if this build does not know the stored phase; the job's dependents keep waiting then. */
  private static Optional<JobEnd> parseEnd(KeyValue item) {
    return JobRecord.endedPhase(item)
        .map(phase -> new JobEnd(phase, JobRecord.endedMillis(item).orElse(0)));
  }

  /**
   * Reads all dependency lists of a job. If a list is missing or malformed, this is logged, {@code
   * onLoaded} is not called, and the job keeps waiting.
   *
   * @param onLoaded receives the dependencies once all lists were read
   * @param onListRead receives the stored item of each list as it is read
   */
  void loadLists(
      JobId job,
      JobDependencies dependencies,
      Consumer<List<JobId>> onLoaded,
      Consumer<KeyValue> onListRead) {
    ListsRequest request =
        new ListsRequest(job, dependencies, new ArrayList<>(), onLoaded, onListRead);
    enqueue(() -> readList(request, 0));
  }

  /** A request for the lists of one job, with the dependencies read so far. */
  private record ListsRequest(
      JobId job,
      JobDependencies dependencies,
      List<JobId> found,
      Consumer<List<JobId>> onLoaded,
      Consumer<KeyValue> onListRead) {
    String key(int listIndex) {
      return StoreKeys.dependencyList(job, dependencies.digest(), listIndex);
    }
  }

  private void readList(ListsRequest request, int listIndex) {
    read(request.key(listIndex), item -> onList(request, listIndex, item));
  }

  private void onList(ListsRequest request, int listIndex, Optional<KeyValue> item) {
    try {
      if (item.isEmpty()) {
        throw new MalformedMessageException("the key is absent");
      }
      request.onListRead().accept(item.get());
      request.found().addAll(JobDependencies.readList(item.get().value()));
    } catch (MalformedMessageException e) {
      LOG.error(
          "dependency list unreadable, job keeps waiting, key={} job={} reason={}",
          request.key(listIndex),
          request.job(),
          e.getMessage());
      return;
    }
    int next = listIndex + 1;
    if (next < request.dependencies().listCount()) {
      enqueue(() -> readList(request, next));
    } else {
      request.onLoaded().accept(request.found());
    }
  }

  private void enqueue(Runnable read) {
    queue.add(read);
    startReads();
  }

  private void startReads() {
    while (readsInFlight < MAX_CONCURRENT_READS && !queue.isEmpty()) {
      if (readsInFlight == 0 && readsInBurst == 0) {
        burstStartedAt = loop.now();
      }
      readsInFlight++;
      readsInBurst++;
      queue.poll().run();
    }
  }

  /** Reads a key, and retries until the store answers whether it exists. */
  private void read(String key, Consumer<Optional<KeyValue>> onAnswer) {
    store.get(
        key,
        KeyValueStore.Urgency.NORMAL,
        answer -> {
          if (!termOngoing.getAsBoolean()) {
            queue.clear();
          } else if (answer instanceof ReadResult.Found<KeyValue> found) {
            finishRead(onAnswer, Optional.of(found.value()));
          } else if (answer instanceof ReadResult.Absent<KeyValue>) {
            finishRead(onAnswer, Optional.empty());
          } else {
            retriesInBurst++;
            loop.after(RETRY_DELAY, () -> read(key, onAnswer));
          }
        });
  }

  private void finishRead(Consumer<Optional<KeyValue>> onAnswer, Optional<KeyValue> item) {
    readsInFlight--;
    onAnswer.accept(item);
    startReads();
    if (readsInFlight == 0) {
      logReads();
    }
  }

  private void logReads() {
    Duration took = loop.now().since(burstStartedAt);
    if (took.compareTo(MIN_LOGGED_DURATION) >= 0) {
      LOG.info(
          "dependencies read, reads={} retries={} ms={}",
          readsInBurst,
          retriesInBurst,
          took.toMillis());
    }
    readsInBurst = 0;
    retriesInBurst = 0;
  }
}
