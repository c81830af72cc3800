package org.mulleinshift.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mulleinshift.model.Chunk;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.StoreCodec;

/**
 * The stored form of one value of the progress log, with the progress of chunks of several jobs.
 * Each entry holds the complete progress of its chunk, so that only the newest entry of a chunk has
 * to be read.
 */
public final class LogSegment {
  /** Version of the stored format. */
  private static final int FORMAT_VERSION = 1;

  private static final String FORMAT_FIELD = "form";
  private static final String ENTRIES = "entries";
  private static final String JOB = "job";
  private static final String CHUNK = "part";
  private static final String PROGRESS = "progress";
  private static final int ENTRY_FIELDS = 3;
  private static final int SEGMENT_FIELDS = 2;

  /** Bytes of an entry's field names and punctuation, with a margin. */
  private static final int ENTRY_OVERHEAD_BYTES = 40;

  /** Bytes of a segment without entries, with a margin. */
  private static final int SEGMENT_OVERHEAD_BYTES = 64;

  private LogSegment() {}

  /**
   * The complete progress of one chunk of a job.
   *
   * @param bytes upper bound of the entry's encoded length within a segment, computed once
   */
  public record Entry(JobId job, Chunk chunk, JsonNode progress, int bytes) {
    /**
     * Returns an entry for a chunk.
     *
     * @param progressBytes encoded length of the progress alone
     */
    public static Entry of(JobId job, Chunk chunk, JsonNode progress, int progressBytes) {
      int names = StoreCodec.encodedLength(job.value()) + chunk.toString().length();
      return new Entry(job, chunk, progress, progressBytes + names + ENTRY_OVERHEAD_BYTES);
    }

    /** Returns an entry for a chunk; encodes the progress once to compute its length. */
    public static Entry of(JobId job, Chunk chunk, JsonNode progress) {
      return of(job, chunk, progress, StoreCodec.encodedLength(progress));
    }
  }

  /** Returns how many bytes of entries fit into a value of that length. */
  public static int entryCapacityBytes(int valueBytes) {
    return valueBytes - SEGMENT_OVERHEAD_BYTES;
  }

  /** Returns the stored form of a segment with these entries. */
  public static JsonNode write(List<Entry> entries) {
    ObjectNode segment = Json.object();
    segment.put(FORMAT_FIELD, FORMAT_VERSION);
    ArrayNode list = segment.putArray(ENTRIES);
    entries.forEach(entry -> list.add(node(entry.job(), entry.chunk(), entry.progress())));
    return segment;
  }

  private static ObjectNode node(JobId job, Chunk chunk, JsonNode progress) {
    ObjectNode node = Json.object();
    node.put(JOB, job.value());
    node.put(CHUNK, chunk.toString());
    node.set(PROGRESS, progress);
    return node;
  }

  /**
   * Returns the entries of a segment.
   *
   * @throws MalformedMessageException if its format is not the one that this build writes
   */
  public static List<Entry> read(JsonNode value) throws MalformedMessageException {
    boolean known =
        value.isObject()
            && value.size() == SEGMENT_FIELDS
            && value.path(FORMAT_FIELD).isInt()
            && value.path(FORMAT_FIELD).asInt() == FORMAT_VERSION
            && value.path(ENTRIES).isArray();
    if (!known) {
      throw new MalformedMessageException("progress log segment has an unknown format");
    }
    List<Entry> entries = new ArrayList<>();
    for (JsonNode item : value.path(ENTRIES)) {
      entries.add(entry(item));
    }
    return entries;
  }

  private static Entry entry(JsonNode item) throws MalformedMessageException {
    Optional<Chunk> chunk =
        item.path(CHUNK).isTextual() ? Chunk.parse(item.path(CHUNK).asText()) : Optional.empty();
    if (item.size() != ENTRY_FIELDS || chunk.isEmpty() || !item.path(PROGRESS).isObject()) {
      throw new MalformedMessageException("progress log entry has an unknown format");
    }
    return Entry.of(new JobId(Json.text(item, JOB)), chunk.get(), item.path(PROGRESS));
  }

  /**
   * Returns the jobs in a segment whose format this build does not read; empty if even the job ids
   * can't be read.
   */
  public static Optional<List<JobId>> readJobIds(JsonNode value) {
    if (!value.path(ENTRIES).isArray()) {
      return Optional.empty();
    }
    List<JobId> jobs = new ArrayList<>();
    for (JsonNode item : value.path(ENTRIES)) {
      if (!item.path(JOB).isTextual()) {
        return Optional.empty();
      }
      jobs.add(new JobId(item.path(JOB).asText()));
    }
    return Optional.of(jobs);
  }
}
