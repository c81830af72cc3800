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
 * The jobs that a job depends on, as its record has them: named there, or, where they would not fit
 * into a value, in lists under keys of their own.
 *
 * @param inlineJobs the jobs, if the record names them
 * @param listCount how many lists there are; 0 if the record names the jobs
 * @param digest of the lists' content; lists of another submission have another one
 */
public record JobDependencies(List<JobId> inlineJobs, int listCount, String digest) {
  /** Of a job without dependencies. */
  public static final JobDependencies NONE = new JobDependencies(List.of(), 0, "");

  private static final String NAMED = "awaits";
  private static final String LISTS = "lists";
  private static final String DIGEST = "digest";
  private static final int MAX_LISTS = 10_000;

  /** Two quotes and a comma. */
  private static final int ID_OVERHEAD_BYTES = 3;

  /** Bytes of a list without ids, with a margin. */
  private static final int LIST_OVERHEAD_BYTES = 32;

  /** Dependencies that the record names itself. */
  public static JobDependencies of(List<JobId> named) {
    return named.isEmpty() ? NONE : new JobDependencies(List.copyOf(named), 0, "");
  }

  /** Whether the job has no dependencies. */
  public boolean isEmpty() {
    return inlineJobs.isEmpty() && listCount == 0;
  }

  /** Writes the dependencies into their part of the job's record. */
  void write(ObjectNode node) {
    if (listCount == 0) {
      node.set(NAMED, toArray(inlineJobs));
    } else {
      node.put(LISTS, listCount);
      node.put(DIGEST, digest);
    }
  }

  /** Reads the dependencies from their part of the job's record. */
  static JobDependencies read(JsonNode node) throws MalformedMessageException {
    if (node.has(LISTS)) {
      return new JobDependencies(
          List.of(), (int) Json.count(node, LISTS, 1, MAX_LISTS), Json.text(node, DIGEST));
    }
    List<JobId> named = JobCodec.parseJobIds(node.path(NAMED));
    if (named.isEmpty()) {
      throw new MalformedMessageException("no dependencies are named");
    }
    return new JobDependencies(named, 0, "");
  }

  /** The stored form of one list. */
  public static JsonNode listValue(List<JobId> jobs) {
    return Json.object().set(NAMED, toArray(jobs));
  }

  /** Reads one list. */
  public static List<JobId> readList(JsonNode value) throws MalformedMessageException {
    return JobCodec.parseJobIds(value.path(NAMED));
  }

  private static ArrayNode toArray(List<JobId> jobs) {
    ArrayNode array = Json.object().putArray(NAMED);
    jobs.forEach(job -> array.add(job.value()));
    return array;
  }

  /** Partitions a long list into lists that fit into values of that length. */
  public static List<List<JobId>> partition(List<JobId> jobs, int maxValueBytes) {
    List<List<JobId>> lists = new ArrayList<>();
    List<JobId> current = new ArrayList<>();
    int bytes = 0;
    for (JobId job : jobs) {
      // Ids are plain ASCII.
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
