package org.mulleinshift.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.simulation.SentMessageListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the commands to start a task that controllers send after one of them has confirmed the
 * cancellation of the task's job. Commands that were in flight at that time do not count.
 */
final class StartCommandsAfterCancellation implements SentMessageListener {
  private static final Logger LOG = LoggerFactory.getLogger(StartCommandsAfterCancellation.class);
  private static final int OK = 200;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final String JOBS_PATH = "/v2/runs/";
  private static final String CANCEL_SUFFIX = "/withdraw";
  private static final String START = "\"run\"";

  private final SentMessageListener next;
  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, Long> cancelledAtNanos = new HashMap<>();
  private int count;

  /** Counts start commands and passes all messages on to the next listener. */
  StartCommandsAfterCancellation(SentMessageListener next) {
    this.next = next;
  }

  int count() {
    return count;
  }

  @Override
  public void requestSent(
      long nanos,
      String sender,
      InetSocketAddress target,
      String method,
      String path,
      String body,
      Duration deadline) {
    countStarts(nanos, sender, body);
    next.requestSent(nanos, sender, target, method, path, body, deadline);
  }

  @Override
  public void frameSent(long nanos, String sender, String receiver, byte[] frame) {
    next.frameSent(nanos, sender, receiver, frame);
  }

  @Override
  public void responseSent(
      long nanos, String sender, String request, int status, String body, int retryAfter) {
    if (status == OK && request.endsWith(CANCEL_SUFFIX) && body.contains("cancelled")) {
      int start = request.indexOf(JOBS_PATH) + JOBS_PATH.length();
      String job = request.substring(start, request.length() - CANCEL_SUFFIX.length());
      cancelledAtNanos.putIfAbsent(job, nanos);
    }
    countStarts(nanos, sender, body);
    next.responseSent(nanos, sender, request, status, body, retryAfter);
  }

  private void countStarts(long nanos, String sender, String body) {
    if (cancelledAtNanos.isEmpty() || !body.contains(START)) {
      return;
    }
    for (JsonNode command : read(body).path("orders")) {
      String task = command.path("piece").asText();
      Long cancelledNanos = cancelledAtNanos.get(ObservedJob.idOfTask(task));
      if (command.path("verb").asText().equals("run") && cancelledNanos != null) {
        count++;
        double secondsLate = (nanos - cancelledNanos) / NANOS_PER_SECOND;
        LOG.info(
            "start command sent after cancellation, task={} sender={} late_s={}",
            task,
            sender,
            secondsLate);
      }
    }
  }

  private JsonNode read(String body) {
    try {
      return json.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
