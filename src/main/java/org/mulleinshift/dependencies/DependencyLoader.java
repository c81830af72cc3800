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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from the store what a new leader, or one that meets a late submission, does not know of
 * jobs that others await: how they ended, and lists that did not fit into a record. A few at a
 * time, behind all that somebody waits for.
 */
public final class DependencyLoader {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyLoader.class);
  private static final int AT_ONCE = 8;
  private static final Duration RETRY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier wanted;
  private final BiConsumer<JobId, DependencyResolver.End> ended;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private final Set<JobId> asked = new HashSet<>();
  private int open;

  /**
   * A reader for one term.
   *
   * @param wanted whether the term goes on
   */
  public DependencyLoader(
      EventLoop loop,
      KeyValueStore store,
      BooleanSupplier wanted,
      BiConsumer<JobId, DependencyResolver.End> ended) {
    this.loop = loop;
    this.store = store;
    this.wanted = wanted;
    this.ended = ended;
  }

  /** How a job ended that is not among the active ones; asked once at a time. */
  public void loadEnd(JobId job) {
    if (asked.add(job)) {
      enqueue(() -> readEnd(job));
    }
  }

  private void readEnd(JobId job) {
    get(
        StoreKeys.endedJob(job),
        item -> {
          asked.remove(job);
          item.flatMap(DependencyLoader::loadEnd).ifPresent(end -> ended.accept(job, end));
        });
  }

  /** None if this build can't read it: what awaits the job waits on. */
  private static Optional<DependencyResolver.End> loadEnd(KeyValue item) {
    return JobRecord.endedPhase(item)
        .map(phase -> new DependencyResolver.End(phase, JobRecord.endedMillis(item).orElse(0)));
  }

  /** All that a job awaits; never called back if that can't be read, and the job waits on. */
  public void loadLists(
      JobId job, JobDependencies awaits, Consumer<List<JobId>> then, Consumer<KeyValue> read) {
    enqueue(() -> readList(job, awaits, 0, new ArrayList<>(), then, read));
  }

  private void readList(
      JobId job,
      JobDependencies awaits,
      int list,
      List<JobId> found,
      Consumer<List<JobId>> then,
      Consumer<KeyValue> read) {
    String key = StoreKeys.dependencyList(job, awaits.digest(), list);
    get(
        key,
        item -> {
          try {
            if (item.isEmpty()) {
              throw new MalformedMessageException("is not there");
            }
            read.accept(item.get());
            found.addAll(JobDependencies.readList(item.get().value()));
          } catch (MalformedMessageException e) {
            LOG.error("{}: {}; {} is held", key, e.getMessage(), job);
            return;
          }
          if (list + 1 < awaits.lists()) {
            enqueue(() -> readList(job, awaits, list + 1, found, then, read));
          } else {
            then.accept(found);
          }
        });
  }

  private void enqueue(Runnable question) {
    queue.add(question);
    next();
  }

  private void next() {
    while (open < AT_ONCE && !queue.isEmpty()) {
      open++;
      queue.poll().run();
    }
  }

  /** The key as it stands; without an answer it is asked for again. */
  private void get(String key, Consumer<Optional<KeyValue>> then) {
    store.get(
        key,
        KeyValueStore.Urgency.NORMAL,
        answer -> {
          if (!wanted.getAsBoolean()) {
            queue.clear();
          } else if (answer instanceof ReadResult.Found<KeyValue> found) {
            open--;
            then.accept(Optional.of(found.value()));
            next();
          } else if (answer instanceof ReadResult.Absent<KeyValue>) {
            open--;
            then.accept(Optional.empty());
            next();
          } else {
            loop.after(RETRY, () -> get(key, then));
          }
        });
  }
}
