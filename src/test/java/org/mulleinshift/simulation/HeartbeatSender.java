package org.mulleinshift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends workers' heartbeats to controllers, which are identified by index. */
public interface HeartbeatSender {
  /** The labels of all controllers, running or not, ordered by index. */
  List<String> controllerLabels();

  /** Sends a heartbeat; {@code reply} is never called if the heartbeat or the response is lost. */
  void send(SimulatedWorker worker, int controller, String body, Consumer<HttpResponse> reply);
}
