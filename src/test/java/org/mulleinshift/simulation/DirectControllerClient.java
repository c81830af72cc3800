package org.mulleinshift.simulation;

import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Sends users' requests to a given controller. */
@FunctionalInterface
public interface DirectControllerClient {
  /** Sends a request; the reply never comes if a message is lost. */
  void request(
      SimulatedController controller,
      String method,
      String path,
      String body,
      Consumer<HttpResponse> reply);
}
