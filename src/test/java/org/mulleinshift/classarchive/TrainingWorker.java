package org.mulleinshift.classarchive;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** Worker of the only machine; a task exits after the first heartbeat that reports it running. */
final class TrainingWorker {
  private static final Duration INTERVAL = Duration.ofMillis(250);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final String TASK = "piece";
  private static final String PHASE = "phase";
  private static final String RUNNING = "running";
  private static final String FENCING_TOKEN = "baton";

  private final ObjectMapper json = new ObjectMapper();
  private final EventLoop loop;
  private final AsyncHttpClient client;
  private final InetSocketAddress controller;
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
  private long sequence;
  private long fencingToken;

  TrainingWorker(EventLoop loop, AsyncHttpClient client, InetSocketAddress controller) {
    this.loop = loop;
    this.client = client;
    this.controller = controller;
  }

  void start() {
    loop.after(INTERVAL, this::start);
    ObjectNode body = json.createObjectNode();
    body.put("host", "i-1").put("addr", "127.0.0.1:1").put("build", "r").put("yard", "here");
    body.put("loaner", true).put("shift", 1).put("tick", ++sequence);
    body.put(FENCING_TOKEN, fencingToken);
    ArrayNode list = body.putArray("pieces");
    tasks.values().forEach(list::add);
    client.call(
        controller,
        HttpRequest.post(WorkerCodec.HEARTBEAT_PATH, body.toString(), DEADLINE),
        this::onResponse);
  }

  private void onResponse(HttpResponse response) {
    tasks.values().forEach(TrainingWorker::exit);
    try {
      JsonNode answer = json.readTree(response.body());
      fencingToken = Math.max(fencingToken, answer.path(FENCING_TOKEN).asLong());
      answer.path("orders").forEach(this::execute);
    } catch (IOException e) {
      // No response, or an unreadable one; the next heartbeat retries.
    }
  }

  private static void exit(ObjectNode task) {
    if (task.path(PHASE).asText().equals(RUNNING)) {
      task.put(PHASE, "exited");
    }
    task.put("cause", "done");
  }

  private void execute(JsonNode command) {
    String name = command.path(TASK).asText();
    if (!command.path("verb").asText().equals("run")) {
      tasks.remove(name);
      return;
    }
    ObjectNode task = json.createObjectNode().put(TASK, name).put(PHASE, RUNNING);
    tasks.putIfAbsent(name, task.put("try", command.path("try").asLong()));
  }
}
