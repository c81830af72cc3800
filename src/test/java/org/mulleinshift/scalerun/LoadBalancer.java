package org.mulleinshift.scalerun;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.mulleinshift.simulation.ControllerClient;
import org.mulleinshift.simulation.time.RealTimeline;
import org.mulleinshift.transport.HttpResponse;

/** Sends each user request to a random controller among those that report ready. */
final class LoadBalancer implements ControllerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final double PROBE_SECONDS = 1;
  private static final int OK = 200;

  private final RealTimeline timeline;
  private final HttpClient client;
  private final List<ControllerProcess> controllers;

  /**
   * A load balancer that probes no controller until {@link #probe} is called.
   *
   * @param timeline handles replies to users' requests on its thread
   */
  LoadBalancer(RealTimeline timeline, HttpClient client, List<ControllerProcess> controllers) {
    this.timeline = timeline;
    this.client = client;
    this.controllers = controllers;
  }

  /** Checks each controller's readiness endpoint now and every second. */
  void probe() {
    timeline.after(PROBE_SECONDS, this::probe);
    for (ControllerProcess controller : controllers) {
      send(
          controller,
          "GET",
          "/ready",
          "",
          response -> controller.setReady(response.status() == OK));
    }
  }

  @Override
  public void request(String method, String path, String body, Consumer<HttpResponse> reply) {
    List<ControllerProcess> ready = controllers.stream().filter(ControllerProcess::ready).toList();
    if (ready.isEmpty()) {
      reply.accept(HttpResponse.NO_RESPONSE);
      return;
    }
    ControllerProcess chosen = ready.get((int) (timeline.random() * ready.size()));
    send(chosen, method, path, body, response -> timeline.post(() -> reply.accept(response)));
  }

  private void send(
      ControllerProcess controller,
      String method,
      String path,
      String body,
      Consumer<HttpResponse> reply) {
    URI uri = URI.create("http://" + CellAddresses.text(controller.address()) + path);
    java.net.http.HttpRequest request =
        java.net.http.HttpRequest.newBuilder(uri)
            .timeout(TIMEOUT)
            .method(method, java.net.http.HttpRequest.BodyPublishers.ofString(body))
            .build();
    CompletableFuture<?> unused =
        client
            .sendAsync(request, BodyHandlers.ofString())
            .whenComplete(
                (response, failure) ->
                    reply.accept(
                        failure != null
                            ? HttpResponse.NO_RESPONSE
                            : new HttpResponse(response.statusCode(), response.body())));
  }
}
