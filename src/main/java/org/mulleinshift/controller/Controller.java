package org.mulleinshift.controller;

import org.mulleinshift.memory.HeapMonitor;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.PeerTransport;
import org.mulleinshift.transport.RequestHandler;
import org.mulleinshift.transport.Responder;

/** One controller of the cluster: receives requests of users and workers and frames of peers. */
public final class Controller implements RequestHandler {
  /**
   * The ways out of the process.
   *
   * @param loop the event loop, which owns all state
   * @param storeClient calls of the store
   * @param watchClient long calls of the store that wait for changes
   * @param cloudClient calls of the cloud
   * @param workerClient calls of workers
   * @param peerTransport frames to the other controllers
   * @param heapMonitor use of the heap
   */
  public record Ports(
      EventLoop loop,
      AsyncHttpClient storeClient,
      AsyncHttpClient watchClient,
      AsyncHttpClient cloudClient,
      AsyncHttpClient workerClient,
      PeerTransport peerTransport,
      HeapMonitor heapMonitor) {}

  private final ControllerComponents components;

  /**
   * A controller that does nothing until it starts.
   *
   * @param settings of the platform
   * @param tunables of the operators
   * @param ports its ways out of the process
   */
  public Controller(PlatformSettings settings, Tunables tunables, Ports ports) {
    this.components = new ControllerComponents(settings, tunables, ports);
  }

  /** Starts all components; called once. */
  public void start() {
    components.start();
  }

  @Override
  public void handle(String method, String path, String body, Responder responder) {
    components.router().handle(method, path, body, responder);
  }

  /** Receives a frame from a peer. */
  public void onFrame(byte[] frame) {
    components.messenger().onFrame(frame);
  }
}
