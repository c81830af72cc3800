package org.mulleinshift;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** The one machine of a rehearsal, and its one user. */
final class TrainingWorker {
  private static final Duration PAUSE = Duration.ofMillis(250);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final int TASKS = 24;

  private final ObjectMapper json = new ObjectMapper();
  private final EventLoop loop;
  private final AsyncHttpClient caller;
  private final InetSocketAddress node;
  private final Map<String, ObjectNode> pieces = new LinkedHashMap<>();
  private long sequence;
  private long fencingToken;

  TrainingWorker(EventLoop loop, AsyncHttpClient caller, InetSocketAddress node) {
    this.loop = loop;
    this.caller = caller;
    this.node = node;
  }

  void start() {
    loop.after(PAUSE, this::start);
    report();
    String job = "run-" + sequence % 3;
    ObjectNode body = json.createObjectNode();
    body.put("ref", job).put("lane", "l").put("crew", "t").put("shape", "batch");
    body.put("urgency", sequence % 2 == 0 ? "standard" : "urgent").put("pieces", TASKS);
    body.put("cpus", 1.0).put("cards", 0.0).put("ram_gb", 1.0).put("bundle", "b");
    body.put("pull_gb", 1.0).put("same_place", false).put("spread", false).put("loaner", true);
    body.put("guess_s", 1.0).put("snapshot_s", 0.0).put("flush_s", 0.0).put("due_s", 60.0);
    call(HttpRequest.post(JobCodec.JOBS_PATH, body.toString(), DEADLINE));
    call(HttpRequest.get(JobCodec.JOBS_PATH + "/" + job, DEADLINE));
    if (sequence == 20) {
      call(HttpRequest.post(JobCodec.JOBS_PATH + "/run-2/withdraw", "", DEADLINE));
    }
  }

  private void call(HttpRequest request) {
    caller.call(node, request, HttpResponse::isReceived);
  }

  private void report() {
    ObjectNode body = json.createObjectNode();
    body.put("host", "i-1").put("addr", "127.0.0.1:1").put("build", "r").put("yard", "here");
    body.put("loaner", true).put("shift", 1).put("tick", ++sequence).put("baton", fencingToken);
    ArrayNode list = body.putArray("pieces");
    pieces.values().forEach(list::add);
    caller.call(
        node,
        HttpRequest.post(WorkerCodec.HEARTBEAT_PATH, body.toString(), DEADLINE),
        this::answered);
  }

  private void answered(HttpResponse reply) {
    for (ObjectNode piece : pieces.values()) {
      boolean over = piece.path("phase").asText().equals("running");
      piece.put("phase", over ? "exited" : piece.path("phase").asText());
      piece.put("cause", "done");
    }
    try {
      JsonNode answer = json.readTree(reply.body());
      fencingToken = Math.max(fencingToken, answer.path("baton").asLong());
      for (JsonNode order : answer.path("orders")) {
        String name = order.path("piece").asText();
        if (order.path("verb").asText().equals("run")) {
          ObjectNode piece = json.createObjectNode().put("piece", name).put("phase", "running");
          pieces.putIfAbsent(name, piece.put("try", order.path("try").asLong()));
        } else {
          pieces.remove(name);
        }
      }
    } catch (IOException e) {
      // No answer, or none that can be read: the next report asks again.
    }
  }
}
