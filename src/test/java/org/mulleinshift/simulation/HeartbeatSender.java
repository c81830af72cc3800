package org.mulleinshift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends workers' heartbeats to controllers, which are known by their indexes. */
public interface HeartbeatSender {
  /** The labels of all controllers, running or not, in the order of their indexes. */
  List<String> controllerLabels();

  /** Sends a heartbeat; the reply never comes if a message is lost. */
  void send(SimulatedWorker worker, int controller, String body, Consumer<HttpResponse> reply);
}
