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
import java.util.function.Consumer;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.model.ChunkKey;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads stored progress at the start of a term: first the log, then the keys of chunks. Of a chunk
 * that is in both, or several times in the log, the image with the highest revision counts; an
 * image of a chunk that was split gives way to those of its halves.
 *
 * <p>What cannot be read is never deleted or acted on: its job is quarantined and its slots are
 * pinned.
 */
public final class ProgressLoader {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressLoader.class);

  /** The newest image of a chunk that was found, and its slot if it is in the log. */
  private record FoundImage(Revision revision, JsonNode progress, OptionalInt slot) {}

  private static final Comparator<Chunk> WHOLE_FIRST =
      Comparator.<Chunk>comparingInt(Chunk::number).thenComparing(Chunk::path);

  private final JobDirectory jobs;
  private final ShardTable shards;
  private final UnreadableJobs unreadable;
  private final Consumer<String> deleteKey;
  private final TransactionBatcher batcher;
  private final ProgressLog log;

  /** Images of jobs that are in the log; those of other jobs are loaded page by page. */
  private final Map<JobId, Map<Chunk, FoundImage>> loggedImages = new HashMap<>();

  ProgressLoader(
      JobDirectory jobs,
      ShardTable shards,
      UnreadableJobs unreadable,
      TransactionBatcher batcher,
      ProgressLog log,
      Consumer<String> deleteKey) {
    this.jobs = jobs;
    this.shards = shards;
    this.unreadable = unreadable;
    this.deleteKey = deleteKey;
    this.batcher = batcher;
    this.log = log;
  }

  /** Loads a page of the log; all of the log comes before the keys of chunks. */
  public void loadSegments(StoreCodec.Range page) {
    for (KeyValue item : page.items()) {
      OptionalInt number = StoreKeys.logSegmentNumber(item.key());
      if (number.isEmpty()) {
        LOG.warn("unknown key ignored, key={}", item.key());
        continue;
      }
      batcher.recordRevision(item.key(), item.revision());
      log.registerSlot(number.getAsInt());
      try {
        LogSegment.read(item.value()).forEach(entry -> onEntry(entry, item, number.getAsInt()));
      } catch (MalformedMessageException e) {
        log.pin(number.getAsInt());
        quarantineJobsIn(item, e.getMessage());
      }
    }
  }

  private void onEntry(LogSegment.Entry entry, KeyValue item, int slot) {
    if (unreadable.contains(entry.job())) {
      unreadable.addProgress(entry.progress());
      log.pin(slot);
    } else if (jobs.findJob(entry.job()).isPresent()) {
      FoundImage found = new FoundImage(item.revision(), entry.progress(), OptionalInt.of(slot));
      loggedImages
          .computeIfAbsent(entry.job(), key -> new TreeMap<>(WHOLE_FIRST))
          .merge(entry.chunk(), found, ProgressLoader::newer);
    }
  }

  private static FoundImage newer(FoundImage one, FoundImage other) {
    return one.revision().compareTo(other.revision()) >= 0 ? one : other;
  }

  /** Nothing of a job whose newest progress may be in the segment is started, ended or deleted. */
  private void quarantineJobsIn(KeyValue segment, String reason) {
    Optional<List<JobId>> named = LogSegment.readJobIds(segment.value());
    List<Job> concerned =
        named.isPresent()
            ? named.get().stream().flatMap(id -> jobs.findJob(id).stream()).distinct().toList()
            : jobs.activeJobs().stream().filter(job -> mayBeIn(job, segment)).toList();
    LOG.warn(
        "progress log segment unreadable, key={} reason={} jobs={}",
        segment.key(),
        reason,
        concerned.size());
    concerned.forEach(job -> quarantine(job, segment.value(), reason));
  }

  /** A cancellation rewrites a job's record, so that its revision does not show its age. */
  private static boolean mayBeIn(Job job, KeyValue segment) {
    return job.cancelled() || job.revision().compareTo(segment.revision()) < 0;
  }

  private void quarantine(Job job, JsonNode progress, String reason) {
    JsonNode record = JobRecord.value(job.spec(), job.dependencies(), job.acceptedMillis(), false);
    jobs.quarantineJob(job.spec().id(), record, reason);
    unreadable.addProgress(progress);
  }

  /** Loads a page of the keys of chunks; a whole chunk comes before its halves. */
  public void loadChunks(StoreCodec.Range page) {
    for (KeyValue item : page.items()) {
      Optional<ChunkKey> key = ChunkKey.parse(item.key());
      if (key.isEmpty()) {
        LOG.warn("unknown key ignored, key={}", item.key());
        continue;
      }
      JobId id = key.get().job();
      if (unreadable.contains(id)) {
        unreadable.addProgress(item.value());
        continue;
      }
      batcher.recordRevision(item.key(), item.revision());
      Job job = jobs.findJob(id).orElse(null);
      if (job == null) {
        // Of a job that has ended: nobody reads it.
        deleteKey.accept(item.key());
      } else if (loggedImages.containsKey(id)) {
        FoundImage found = new FoundImage(item.revision(), item.value(), OptionalInt.empty());
        loggedImages.get(id).merge(key.get().chunk(), found, ProgressLoader::newer);
      } else {
        load(job, key.get().chunk(), item.value());
      }
    }
  }

  private boolean load(Job job, Chunk chunk, JsonNode value) {
    try {
      job.load(chunk, value, shards::zoneOf);
      return true;
    } catch (MalformedMessageException e) {
      quarantine(job, value, e.getMessage());
      return false;
    }
  }

  /** All was read: loads the progress of the jobs that have images in the log. */
  public void finish() {
    loggedImages.forEach((id, images) -> jobs.findJob(id).ifPresent(job -> restore(job, images)));
    loggedImages.entrySet().removeIf(entry -> !unreadable.contains(entry.getKey()));
    // Of jobs quarantined meanwhile nothing may be overwritten.
    loggedImages.values().forEach(images -> images.values().forEach(this::pin));
    loggedImages.clear();
  }

  private void restore(Job job, Map<Chunk, FoundImage> images) {
    for (Map.Entry<Chunk, FoundImage> entry : new ArrayList<>(images.entrySet())) {
      FoundImage found = entry.getValue();
      if (!load(job, entry.getKey(), found.progress())) {
        return;
      }
      LogSegment.Entry image =
          LogSegment.Entry.of(job.spec().id(), entry.getKey(), found.progress());
      found.slot().ifPresent(slot -> log.registerEntry(slot, image));
    }
  }

  private void pin(FoundImage found) {
    unreadable.addProgress(found.progress());
    found.slot().ifPresent(log::pin);
  }
}
