package org.mulleinshift.classarchive;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** Repeatedly submits and queries a few jobs, and cancels one of them. */
final class TrainingUser {
  private static final Duration INTERVAL = Duration.ofMillis(250);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final int TASKS = 24;
  private static final int JOBS = 3;
  private static final int ROUND_OF_CANCELLATION = 20;
  private static final double JOB_DEADLINE_SECONDS = 60;

  private final ObjectMapper json = new ObjectMapper();
  private final EventLoop loop;
  private final AsyncHttpClient client;
  private final InetSocketAddress controller;
  private int round;

  TrainingUser(EventLoop loop, AsyncHttpClient client, InetSocketAddress controller) {
    this.loop = loop;
    this.client = client;
    this.controller = controller;
  }

  void start() {
    call(HttpRequest.post(JobCodec.JOBS_PATH, "{\"ref\":1}", DEADLINE));
    submit();
  }

  private void submit() {
    loop.after(INTERVAL, this::submit);
    round++;
    String job = "run-" + round % JOBS;
    call(HttpRequest.post(JobCodec.JOBS_PATH, submission(job), DEADLINE));
    call(HttpRequest.get(JobCodec.JOBS_PATH + "/" + job, DEADLINE));
    if (round == ROUND_OF_CANCELLATION) {
      call(HttpRequest.post(JobCodec.JOBS_PATH + "/" + job + "/withdraw", "", DEADLINE));
    }
  }

  private String submission(String job) {
    ObjectNode body = json.createObjectNode();
    body.put("ref", job).put("lane", "l").put("crew", "t").put("shape", "batch");
    body.put("urgency", round % 2 == 0 ? "standard" : "urgent").put("pieces", TASKS);
    body.put("cpus", 1.0).put("cards", 0.0).put("ram_gb", 1.0).put("bundle", "b");
    body.put("pull_gb", 1.0).put("same_place", false).put("spread", false).put("loaner", true);
    body.put("guess_s", 1.0).put("snapshot_s", 0.0).put("flush_s", 0.0);
    body.put("due_s", JOB_DEADLINE_SECONDS);
    return body.toString();
  }

  private void call(HttpRequest request) {
    client.call(controller, request, HttpResponse::isReceived);
  }
}
