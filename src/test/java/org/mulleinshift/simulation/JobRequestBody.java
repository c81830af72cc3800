package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mulleinshift.invariants.ObservedJob;

/** Writes the request body that submits a job. */
final class JobRequestBody {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double DEFAULT_DUE_SECONDS = 120;

  private JobRequestBody() {}

  static String of(ObservedJob job) {
    ObjectNode body = JSON.createObjectNode();
    body.put("ref", job.id());
    body.put("lane", job.text("class", "work"));
    body.put("crew", job.team());
    body.put("shape", job.text("kind", "batch"));
    body.put("urgency", job.text("priority", "standard"));
    body.put("pieces", job.taskCount());
    body.put("cpus", job.cpus());
    body.put("cards", 0.0);
    body.put("ram_gb", job.number("ram", 1));
    body.put("bundle", job.text("image", "img-1"));
    body.put("pull_gb", 1.0);
    addConstraints(body, job);
    body.put("guess_s", job.number("guess", job.number("run", 10)));
    body.put("snapshot_s", 0.0);
    body.put("flush_s", 0.0);
    if (!job.text("due", "").equals("none")) {
      body.put("due_s", job.number("due", DEFAULT_DUE_SECONDS));
    }
    if (!job.dependencies().isEmpty()) {
      ArrayNode dependencies = body.putArray("awaits");
      job.dependencies().forEach(dependencies::add);
    }
    return body.toString();
  }

  private static void addConstraints(ObjectNode body, ObservedJob job) {
    if (job.has("type")) {
      body.putArray("builds").add(job.text("type", ""));
    }
    if (job.has("zone")) {
      body.put("yard", job.text("zone", ""));
    }
    body.put("same_place", job.flag("one_zone", false));
    body.put("spread", job.flag("spread", false));
    body.put("loaner", job.flag("spot", true));
  }
}
