package org.mulleinshift.simulation;

import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends users' requests to a running controller, as a load balancer would. */
@FunctionalInterface
public interface ControllerClient {
  /** Sends a request; {@code reply} is never called if the request or the response is lost. */
  void request(String method, String path, String body, Consumer<HttpResponse> reply);
}
