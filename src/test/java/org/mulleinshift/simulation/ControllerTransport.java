package org.mulleinshift.simulation;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** Carries what simulated controllers send to the store, the cloud, workers and each other. */
public interface ControllerTransport {
  /** Sends a request; the reply never comes if a message is lost. */
  void send(
      SimulatedController sender,
      InetSocketAddress target,
      HttpRequest request,
      Consumer<HttpResponse> reply);

  /** Sends a frame to the controller with the label. */
  void sendFrame(SimulatedController sender, String receiver, byte[] frame);
}
