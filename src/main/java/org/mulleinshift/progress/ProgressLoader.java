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
 * Reads stored progress at the start of a term: first the log, then the chunk keys. If a chunk is
 * stored in both, or several times in the log, the copy with the highest revision is used; copies
 * of the halves of a chunk take precedence over one from before the split.
 *
 * <p>Data that can't be read is never deleted or acted on: its job is quarantined and its log slots
 * are pinned.
 */
public final class ProgressLoader {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressLoader.class);

  /** The newest stored copy of a chunk found so far, and its slot if it is in the log. */
  private record StoredChunk(Revision revision, JsonNode progress, OptionalInt slot) {}

  private static final Comparator<Chunk> WHOLE_FIRST =
      Comparator.<Chunk>comparingInt(Chunk::number).thenComparing(Chunk::path);

  private final JobDirectory jobs;
  private final ShardTable shards;
  private final UnreadableJobs unreadable;
  private final Consumer<String> deleteKey;
  private final TransactionBatcher batcher;
  private final ProgressLog log;

  /**
   * Chunks of jobs that have entries in the log. Chunks of other jobs are loaded at once from each
   * page of chunk keys.
   */
  private final Map<JobId, Map<Chunk, StoredChunk>> chunksOfLoggedJobs = new HashMap<>();

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

  /** Loads a page of the log; all of its pages are loaded before the first page of chunk keys. */
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
        LogSegment.read(item.value()).forEach(entry -> addEntry(entry, item, number.getAsInt()));
      } catch (MalformedMessageException e) {
        log.pin(number.getAsInt());
        quarantineJobsIn(item, e.getMessage());
      }
    }
  }

  private void addEntry(LogSegment.Entry entry, KeyValue item, int slot) {
    if (unreadable.contains(entry.job())) {
      unreadable.addShardsFromProgress(entry.progress());
      log.pin(slot);
    } else if (jobs.findJob(entry.job()).isPresent()) {
      StoredChunk found = new StoredChunk(item.revision(), entry.progress(), OptionalInt.of(slot));
      chunksOfLoggedJobs
          .computeIfAbsent(entry.job(), key -> new TreeMap<>(WHOLE_FIRST))
          .merge(entry.chunk(), found, ProgressLoader::newer);
    }
  }

  private static StoredChunk newer(StoredChunk one, StoredChunk other) {
    return one.revision().compareTo(other.revision()) >= 0 ? one : other;
  }

  /**
   * Quarantines the jobs whose newest progress may be in a segment that can't be read. If not even
   * its job ids can be read, these are all active jobs that may have an entry in it.
   */
  private void quarantineJobsIn(KeyValue segment, String reason) {
    Optional<List<JobId>> named = LogSegment.readJobIds(segment.value());
    List<Job> affected =
        named.isPresent()
            ? named.get().stream().flatMap(id -> jobs.findJob(id).stream()).distinct().toList()
            : jobs.activeJobs().stream().filter(job -> mayHaveEntryIn(job, segment)).toList();
    LOG.warn(
        "progress log segment unreadable, key={} reason={} jobs={}",
        segment.key(),
        reason,
        affected.size());
    affected.forEach(job -> quarantine(job, segment.value(), reason));
  }

  /**
   * Whether the segment may hold progress of the job. A job accepted after the segment was written
   * is not in it; a cancellation rewrites the job's record, whose revision then doesn't show when
   * the job was accepted.
   */
  private static boolean mayHaveEntryIn(Job job, KeyValue segment) {
    return job.cancelled() || job.revision().compareTo(segment.revision()) < 0;
  }

  private void quarantine(Job job, JsonNode progress, String reason) {
    JsonNode record = JobRecord.value(job.spec(), job.dependencies(), job.acceptedMillis(), false);
    jobs.quarantineJob(job.spec().id(), record, reason);
    unreadable.addShardsFromProgress(progress);
  }

  /** Loads a page of chunk keys; in their order a chunk comes before its halves. */
  public void loadChunks(StoreCodec.Range page) {
    for (KeyValue item : page.items()) {
      Optional<ChunkKey> key = ChunkKey.parse(item.key());
      if (key.isEmpty()) {
        LOG.warn("unknown key ignored, key={}", item.key());
        continue;
      }
      JobId id = key.get().job();
      if (unreadable.contains(id)) {
        unreadable.addShardsFromProgress(item.value());
        continue;
      }
      batcher.recordRevision(item.key(), item.revision());
      Job job = jobs.findJob(id).orElse(null);
      if (job == null) {
        // The job has ended: the key is no longer read.
        deleteKey.accept(item.key());
      } else if (chunksOfLoggedJobs.containsKey(id)) {
        StoredChunk found = new StoredChunk(item.revision(), item.value(), OptionalInt.empty());
        chunksOfLoggedJobs.get(id).merge(key.get().chunk(), found, ProgressLoader::newer);
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

  /** Loads the progress of the jobs that have entries in the log, once everything was read. */
  public void finish() {
    chunksOfLoggedJobs.forEach(
        (id, chunks) -> jobs.findJob(id).ifPresent(job -> loadAll(job, chunks)));
    chunksOfLoggedJobs.entrySet().removeIf(entry -> !unreadable.contains(entry.getKey()));
    // Entries of jobs that were quarantined in the meantime must not be overwritten.
    chunksOfLoggedJobs.values().forEach(chunks -> chunks.values().forEach(this::pin));
    chunksOfLoggedJobs.clear();
  }

  private void loadAll(Job job, Map<Chunk, StoredChunk> chunks) {
    for (Map.Entry<Chunk, StoredChunk> entry : new ArrayList<>(chunks.entrySet())) {
      StoredChunk found = entry.getValue();
      if (!load(job, entry.getKey(), found.progress())) {
        return;
      }
      LogSegment.Entry logEntry =
          LogSegment.Entry.of(job.spec().id(), entry.getKey(), found.progress());
      found.slot().ifPresent(slot -> log.registerEntry(slot, logEntry));
    }
  }

  private void pin(StoredChunk found) {
    unreadable.addShardsFromProgress(found.progress());
    found.slot().ifPresent(log::pin);
  }
}
