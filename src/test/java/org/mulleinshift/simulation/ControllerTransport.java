package org.mulleinshift.simulation;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** Delivers messages from simulated controllers to the store, the cloud, workers and each other. */
public interface ControllerTransport {
  /** Sends a request; {@code reply} is never called if the request or the response is lost. */
  void send(
      SimulatedController sender,
      InetSocketAddress target,
      HttpRequest request,
      Consumer<HttpResponse> reply);

  /** Sends a frame to the controller labelled {@code receiver}; it may be lost. */
  void sendFrame(SimulatedController sender, String receiver, byte[] frame);
}
