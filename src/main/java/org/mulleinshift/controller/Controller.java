package org.mulleinshift.controller;

import org.mulleinshift.memory.HeapMonitor;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.PeerTransport;
import org.mulleinshift.transport.RequestHandler;
import org.mulleinshift.transport.Responder;

/** One controller of the cluster: handles HTTP requests of users and workers and peer frames. */
public final class Controller implements RequestHandler {
  /**
   * What the controller uses of its process and of the network; replaced in simulations.
   *
   * @param loop the event loop, on which all state is read and changed
   * @param storeClient sends requests to the store
   * @param watchClient sends the store's watches, long requests that wait for changes
   * @param cloudClient sends requests to the cloud's API
   * @param workerClient sends requests to workers
   * @param peers sends frames to the other controllers
   * @param heapMonitor reports memory pressure
   */
  public record Ports(
      EventLoop loop,
      AsyncHttpClient storeClient,
      AsyncHttpClient watchClient,
      AsyncHttpClient cloudClient,
      AsyncHttpClient workerClient,
      PeerTransport peers,
      HeapMonitor heapMonitor) {}

  private final ControllerComponents components;

  /**
   * Creates a controller, which sends nothing until {@link #start} is called.
   *
   * @param settings settings of the platform
   * @param tunables settings of the operators
   * @param ports connections to its process and to the network
   */
  public Controller(PlatformSettings settings, Tunables tunables, Ports ports) {
    this.components = new ControllerComponents(settings, tunables, ports);
  }

  /** Starts all components; must be called once, on the event loop. */
  public void start() {
    components.start();
  }

  @Override
  public void handle(String method, String path, String body, Responder responder) {
    components.router().handle(method, path, body, responder);
  }

  /** Handles a frame received from a peer; called on the event loop. */
  public void onFrame(byte[] frame) {
    components.messenger().onFrame(frame);
  }
}
