package org.mulleinshift.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads stored progress at the begin of a term: first the log, then the keys of parts. Of a part
 * that stands in both, or several times in the log, the image with the highest revision counts; an
 * image of a part that was cut gives way to those of what it was cut into.
 */
public final class ProgressLoader {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressLoader.class);

  /** The newest image of a part that was found, and its slot if it is in the log. */
  private record Found(Revision revision, JsonNode progress, OptionalInt slot) {}

  private static final Comparator<Chunk> WHOLE_FIRST =
      Comparator.<Chunk>comparingInt(Chunk::chunk).thenComparing(Chunk::path);

  private final Leader leader;
  private final TransactionBatcher batcher;
  private final ProgressLog log;

  /** Of jobs that the log has images of; those of the others are taken up page by page. */
  private final Map<JobId, Map<Chunk, Found>> logged = new HashMap<>();

  ProgressLoader(Leader leader, TransactionBatcher batcher, ProgressLog log) {
    this.leader = leader;
    this.batcher = batcher;
    this.log = log;
  }

  /** A page of the log; all of the log comes before the keys of parts. */
  public void loadSegments(StoreCodec.Range page) {
    for (Item item : page.items()) {
      OptionalInt number = StoreKeys.segmentNumber(item.key());
      if (number.isEmpty()) {
        LOG.warn("{}: not a key of this build, left alone", item.key());
        continue;
      }
      batcher.known(item.key(), item.version());
      log.found(number.getAsInt());
      try {
        LogSegment.read(item.value()).forEach(entry -> found(entry, item, number.getAsInt()));
      } catch (MalformedMessageException e) {
        log.pin(number.getAsInt());
        putAsideAllOf(item, e.getMessage());
      }
    }
  }

  private void found(LogSegment.Entry entry, Item item, int slot) {
    if (leader.unreadable().has(entry.job())) {
      leader.unreadable().progress(entry.progress());
      log.pin(slot);
    } else if (leader.known(entry.job()).isPresent()) {
      Found found = new Found(item.version(), entry.progress(), OptionalInt.of(slot));
      logged
          .computeIfAbsent(entry.job(), key -> newParts())
          .merge(entry.part(), found, this::newer);
    }
  }

  private static Map<Chunk, Found> newParts() {
    return new TreeMap<>(WHOLE_FIRST);
  }

  private Found newer(Found one, Found other) {
    return one.revision().compareTo(other.revision()) >= 0 ? one : other;
  }

  /** Nothing of a job whose newest progress may stand there is started, ended or deleted. */
  private void putAsideAllOf(Item segment, String why) {
    Optional<List<JobId>> named = LogSegment.jobsNamed(segment.value());
    List<Job> concerned =
        named.isPresent()
            ? named.get().stream().flatMap(id -> leader.known(id).stream()).distinct().toList()
            : leader.jobs().values().stream().filter(job -> mayBeIn(job, segment)).toList();
    LOG.warn("{}: {}; {} jobs are left alone", segment.key(), why, concerned.size());
    concerned.forEach(job -> putAside(job, segment.value(), why));
  }

  /** A cancellation rewrites a job's record, so that its version says nothing of its age. */
  private static boolean mayBeIn(Job job, Item segment) {
    return job.cancelled() || job.version().compareTo(segment.version()) < 0;
  }

  private void putAside(Job job, JsonNode progress, String why) {
    JsonNode record = JobRecord.value(job.spec(), job.awaits(), job.acceptedMillis(), false);
    leader.putAside(job.spec().id(), record, why);
    leader.unreadable().progress(progress);
  }

  /** A page of the keys of parts; the whole of a chunk comes before its parts. */
  public void loadParts(StoreCodec.Range page) {
    for (Item item : page.items()) {
      Optional<StoreKeys.ProgressKey> key = StoreKeys.progressKey(item.key());
      if (key.isEmpty()) {
        LOG.warn("{}: not a key of this build, left alone", item.key());
        continue;
      }
      JobId id = key.get().job();
      if (leader.unreadable().has(id)) {
        leader.unreadable().progress(item.value());
        continue;
      }
      batcher.known(item.key(), item.version());
      Job job = leader.known(id).orElse(null);
      if (job == null) {
        // Of a job that is over. Nobody waits for it.
        leader.progress().removeKey(item.key());
      } else if (logged.containsKey(id)) {
        Found found = new Found(item.version(), item.value(), OptionalInt.empty());
        logged.get(id).merge(key.get().part(), found, this::newer);
      } else {
        load(job, key.get().part(), item.value());
      }
    }
  }

  private boolean load(Job job, Chunk part, JsonNode value) {
    try {
      job.load(part, value, leader::zoneOf);
      return true;
    } catch (MalformedMessageException e) {
      putAside(job, value, e.getMessage());
      return false;
    }
  }

  /** All was read: takes up the progress of the jobs that the log has images of. */
  public void finish() {
    logged.forEach((id, parts) -> leader.known(id).ifPresent(job -> take(job, parts)));
    logged.entrySet().removeIf(entry -> !leader.unreadable().has(entry.getKey()));
    // Of jobs set aside meanwhile nothing may be overwritten.
    logged.values().forEach(parts -> parts.values().forEach(this::keep));
    logged.clear();
  }

  private void take(Job job, Map<Chunk, Found> parts) {
    for (Map.Entry<Chunk, Found> entry : new ArrayList<>(parts.entrySet())) {
      Found found = entry.getValue();
      if (!load(job, entry.getKey(), found.progress())) {
        return;
      }
      LogSegment.Entry image =
          LogSegment.Entry.of(job.spec().id(), entry.getKey(), found.progress());
      found.slot().ifPresent(slot -> log.found(slot, image));
    }
  }

  private void keep(Found found) {
    leader.unreadable().progress(found.progress());
    found.slot().ifPresent(log::pin);
  }
}
