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
 * The jobs that a job awaits, as its record holds them: named there, or, where they would not fit
 * into a value, in lists under keys of their own.
 *
 * @param named the jobs, if the record names them
 * @param lists how many lists there are; 0 if the record names the jobs
 * @param digest of what the lists hold; lists of another submission have another
 */
public record JobDependencies(List<JobId> named, int lists, String digest) {
  public static final JobDependencies NONE = new JobDependencies(List.of(), 0, "");
  private static final String NAMED = "awaits";
  private static final String LISTS = "lists";
  private static final String DIGEST = "digest";
  private static final int MAX_LISTS = 10_000;

  public static JobDependencies of(List<JobId> named) {
    return named.isEmpty() ? NONE : new JobDependencies(List.copyOf(named), 0, "");
  }

  public boolean isEmpty() {
    return named.isEmpty() && lists == 0;
  }

  void write(ObjectNode chain) {
    if (lists == 0) {
      chain.set(NAMED, array(named));
    } else {
      chain.put(LISTS, lists);
      chain.put(DIGEST, digest);
    }
  }

  static JobDependencies read(JsonNode chain) throws MalformedMessageException {
    if (chain.has(LISTS)) {
      return new JobDependencies(
          List.of(), (int) Json.count(chain, LISTS, 1, MAX_LISTS), Json.text(chain, DIGEST));
    }
    List<JobId> named = JobCodec.jobIds(chain.path(NAMED));
    if (named.isEmpty()) {
      throw new MalformedMessageException("a chain without jobs");
    }
    return new JobDependencies(named, 0, "");
  }

  /** One list as it is stored. */
  public static JsonNode list(List<JobId> jobs) {
    return Json.object().set(NAMED, array(jobs));
  }

  public static List<JobId> readList(JsonNode value) throws MalformedMessageException {
    return JobCodec.jobIds(value.path(NAMED));
  }

  private static ArrayNode array(List<JobId> jobs) {
    ArrayNode array = Json.object().putArray(NAMED);
    jobs.forEach(job -> array.add(job.value()));
    return array;
  }

  /** Cuts a long list into such as fit into values of that size. */
  public static List<List<JobId>> partition(List<JobId> jobs, int valueBytes) {
    List<List<JobId>> lists = new ArrayList<>();
    List<JobId> next = new ArrayList<>();
    int bytes = 0;
    for (JobId job : jobs) {
      // Two quotes and a comma; ids are plain ASCII.
      int size = job.value().length() + 3;
      if (!next.isEmpty() && bytes + size > valueBytes - 32) {
        lists.add(next);
        next = new ArrayList<>();
        bytes = 0;
      }
      next.add(job);
      bytes += size;
    }
    lists.add(next);
    return lists;
  }
}
