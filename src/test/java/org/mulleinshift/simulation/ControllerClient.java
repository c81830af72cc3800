package org.mulleinshift.simulation;

import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends users' requests to some controller that runs, as a load balancer does. */
@FunctionalInterface
public interface ControllerClient {
  /** Sends a request; the reply never comes if a message is lost. */
  void request(String method, String path, String body, Consumer<HttpResponse> reply);
}
