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
 * The stored form of one value of the progress log: the progress of parts of several jobs, each
 * whole, so that the newest image of a part is all that has to be read of it.
 */
public final class LogSegment {
  private static final int FORM = 1;
  private static final String FORM_FIELD = "form";
  private static final String ENTRIES = "entries";
  private static final String JOB = "job";
  private static final String PART = "part";
  private static final String PROGRESS = "progress";
  private static final int ENTRY_FIELDS = 3;
  private static final int SEGMENT_FIELDS = 2;

  /** Bytes of an entry's field names and marks, with a margin. */
  private static final int ENTRY_BYTES = 40;

  /** Bytes of a segment without entries, with a margin. */
  private static final int EMPTY_BYTES = 64;

  private LogSegment() {}

  /**
   * The progress of one part of a job.
   *
   * @param bytes how long the entry is within a segment, worked out once
   */
  public record Entry(JobId job, Chunk chunk, JsonNode progress, int bytes) {
    /** An entry whose progress is that long by itself. */
    public static Entry of(JobId job, Chunk part, JsonNode progress, int progressBytes) {
      int names = StoreCodec.bytes(job.value()) + part.toString().length();
      return new Entry(job, part, progress, progressBytes + names + ENTRY_BYTES);
    }

    /** An entry of any progress. */
    public static Entry of(JobId job, Chunk part, JsonNode progress) {
      return of(job, part, progress, StoreCodec.bytes(progress));
    }
  }

  /** Bytes for entries in a value of that length. */
  public static int capacity(int valueBytes) {
    return valueBytes - EMPTY_BYTES;
  }

  /** The stored form of these entries. */
  public static JsonNode write(List<Entry> entries) {
    ObjectNode segment = Json.object();
    segment.put(FORM_FIELD, FORM);
    ArrayNode list = segment.putArray(ENTRIES);
    entries.forEach(entry -> list.add(node(entry.job(), entry.chunk(), entry.progress())));
    return segment;
  }

  private static ObjectNode node(JobId job, Chunk part, JsonNode progress) {
    ObjectNode node = Json.object();
    node.put(JOB, job.value());
    node.put(PART, part.toString());
    node.set(PROGRESS, progress);
    return node;
  }

  /**
   * The entries of a segment.
   *
   * @throws MalformedMessageException if it is of another form than this build writes
   */
  public static List<Entry> read(JsonNode value) throws MalformedMessageException {
    boolean known =
        value.isObject()
            && value.size() == SEGMENT_FIELDS
            && value.path(FORM_FIELD).isInt()
            && value.path(FORM_FIELD).asInt() == FORM
            && value.path(ENTRIES).isArray();
    if (!known) {
      throw new MalformedMessageException("a segment of another form");
    }
    List<Entry> entries = new ArrayList<>();
    for (JsonNode item : value.path(ENTRIES)) {
      entries.add(entry(item));
    }
    return entries;
  }

  private static Entry entry(JsonNode item) throws MalformedMessageException {
    Optional<Chunk> part =
        item.path(PART).isTextual() ? Chunk.parse(item.path(PART).asText()) : Optional.empty();
    if (item.size() != ENTRY_FIELDS || part.isEmpty() || !item.path(PROGRESS).isObject()) {
      throw new MalformedMessageException("an entry of another form");
    }
    return Entry.of(new JobId(Json.text(item, JOB)), part.get(), item.path(PROGRESS));
  }

  /** Whose progress a segment of another form holds; none if not even that can be told. */
  public static Optional<List<JobId>> jobsNamed(JsonNode value) {
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
