package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;

/**
 * The jobs that a job depends on, as stored in its record: either inline or, if they would not fit
 * into one value, as a reference to lists that are stored under separate keys.
 *
 * @param inlineJobs the jobs, if they are stored inline
 * @param listCount number of separate lists; 0 if the jobs are stored inline
 * @param digest digest of the lists' content, which tells apart the lists of different submissions
 */
public record JobDependencies(List<JobId> inlineJobs, int listCount, String digest) {
  /** The value for a job without dependencies. */
  public static final JobDependencies NONE = new JobDependencies(List.of(), 0, "");

  private static final String NAMED = "awaits";
  private static final String LISTS = "lists";
  private static final String DIGEST = "digest";
  private static final int MAX_LISTS = 10_000;

  /** Two quotes and a comma, in JSON. */
  private static final int ID_OVERHEAD_BYTES = 3;

  /** Length of the stored form of an empty list, with a margin. */
  private static final int LIST_OVERHEAD_BYTES = 32;

  /** Returns dependencies that are stored inline. */
  public static JobDependencies of(List<JobId> named) {
    return named.isEmpty() ? NONE : new JobDependencies(List.copyOf(named), 0, "");
  }

  /** Whether the job has no dependencies. */
  public boolean isEmpty() {
    return inlineJobs.isEmpty() && listCount == 0;
  }

  /** Writes the dependencies into the given object of the job's record. */
  void write(ObjectNode node) {
    if (listCount == 0) {
      node.set(NAMED, toArray(inlineJobs));
    } else {
      node.put(LISTS, listCount);
      node.put(DIGEST, digest);
    }
  }

  /** Reads the dependencies from the given object of the job's record. */
  static JobDependencies read(JsonNode node) throws MalformedMessageException {
    if (node.has(LISTS)) {
      return new JobDependencies(
          List.of(), (int) Json.count(node, LISTS, 1, MAX_LISTS), Json.text(node, DIGEST));
    }
    List<JobId> named = JobCodec.parseJobIds(node.path(NAMED));
    if (named.isEmpty()) {
      throw new MalformedMessageException("list of dependencies is empty");
    }
    return new JobDependencies(named, 0, "");
  }

  /** Returns the stored form of one list. */
  public static JsonNode listValue(List<JobId> jobs) {
    return Json.object().set(NAMED, toArray(jobs));
  }

  /** Reads the stored form of one list. */
  public static List<JobId> readList(JsonNode value) throws MalformedMessageException {
    return JobCodec.parseJobIds(value.path(NAMED));
  }

  private static ArrayNode toArray(List<JobId> jobs) {
    ArrayNode array = Json.object().putArray(NAMED);
    jobs.forEach(job -> array.add(job.value()));
    return array;
  }

  /** Splits jobs into lists whose stored forms each fit into {@code maxValueBytes}. */
  public static List<List<JobId>> partition(List<JobId> jobs, int maxValueBytes) {
    List<List<JobId>> lists = new ArrayList<>();
    List<JobId> current = new ArrayList<>();
    int bytes = 0;
    for (JobId job : jobs) {
      // Ids are ASCII, so their length in characters is their length in bytes.
      int idBytes = job.value().length() + ID_OVERHEAD_BYTES;
      if (!current.isEmpty() && bytes + idBytes > maxValueBytes - LIST_OVERHEAD_BYTES) {
        lists.add(current);
        current = new ArrayList<>();
        bytes = 0;
      }
      current.add(job);
      bytes += idBytes;
    }
    lists.add(current);
    return lists;
  }
}
