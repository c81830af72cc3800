package org.mulleinshift.simulation;

import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends users' requests to a given controller, without a load balancer. */
@FunctionalInterface
public interface DirectControllerClient {
  /** Sends a request; {@code reply} is never called if the request or the response is lost. */
  void request(
      SimulatedController controller,
      String method,
      String path,
      String body,
      Consumer<HttpResponse> reply);
}
