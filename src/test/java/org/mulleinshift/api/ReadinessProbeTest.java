package org.mulleinshift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.transport.Responder;

/** Status and delay of the responses to health checks. */
final class ReadinessProbeTest {
  private static final double ALMOST_ALL_RECHECKS = 0.69;
  private static final double ALL_RECHECKS = 0.7;
  private static final double ONE_RECHECK = 0.05;
  private static final int MAX_WAITING_CHECKS = 8;

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<Integer> statuses = new ArrayList<>();
  private boolean ready;
  private final ReadinessProbe probe = new ReadinessProbe(loop, () -> ready);

  private final Responder responder =
      new Responder() {
        @Override
        public void respond(int status, String body) {
          assertEquals("{}", body);
          statuses.add(status);
        }

        @Override
        public void respondWithRetryAfter(int status, String body, int retryAfterSeconds) {
          throw new AssertionError("response to a health check has a Retry-After header");
        }
      };

  @Test
  void answersAtOnceWhenReady() {
    ready = true;
    probe.respond(responder);
    assertEquals(List.of(200), statuses);
  }

  @Test
  void waitsWhileTheProcessStarts() {
    probe.respond(responder);
    loop.runFor(ALMOST_ALL_RECHECKS);
    assertEquals(List.of(), statuses, "before the last recheck");
    loop.runFor(ALL_RECHECKS - ALMOST_ALL_RECHECKS);
    assertEquals(List.of(503), statuses, "after the last recheck");
    probe.respond(responder);
    ready = true;
    loop.runFor(ONE_RECHECK);
    assertEquals(List.of(503, 200), statuses, "ready at the first recheck");
  }

  @Test
  void answersAtOnceOnceItHasBeenReady() {
    ready = true;
    probe.respond(responder);
    ready = false;
    probe.respond(responder);
    assertEquals(List.of(200, 503), statuses);
  }

  @Test
  void fewChecksWaitAtATime() {
    for (int i = 0; i < MAX_WAITING_CHECKS; i++) {
      probe.respond(responder);
    }
    assertEquals(List.of(), statuses, "waiting");
    probe.respond(responder);
    assertEquals(List.of(503), statuses, "one more");
    loop.runFor(1);
    assertEquals(Collections.nCopies(MAX_WAITING_CHECKS + 1, 503), statuses, "all");
  }
}
