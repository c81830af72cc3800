package org.mulleinshift.simulation;

import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends workers' heartbeats to controllers, which are known by their indexes. */
public interface HeartbeatSender {
  /** How many controllers there are. */
  int controllerCount();

  /** The index of the controller with the label, or -1. */
  int indexOf(String label);

  /** Sends a heartbeat; the reply never comes if a message is lost. */
  void send(SimulatedWorker worker, int controller, String body, Consumer<HttpResponse> reply);
}
