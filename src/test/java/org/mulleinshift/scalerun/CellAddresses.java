package org.mulleinshift.scalerun;

import java.net.InetSocketAddress;

/** Addresses of one cell's controllers, services and workers in a part of the loopback range. */
final class CellAddresses {
  private static final int STORE_PORT = 2379;
  private static final int CLOUD_PORT = 8443;
  private static final int PUBLIC_PORT = 8080;
  private static final int PEER_PORT = 8081;
  private static final int STORE_HOST = 101;
  private static final int CLOUD_HOST = 102;

  /** Workers' addresses have this and higher numbers in their third place. */
  private static final int FIRST_WORKER_NETWORK = 16;

  private static final int WORKERS_PER_NETWORK = 250;
  private static final int WORKER_NETWORKS = 240;

  private final int network;
  private final int cell;

  /**
   * The addresses of a cell.
   *
   * @param network second place of all addresses
   */
  CellAddresses(int network, int cell) {
    this.network = network;
    this.cell = cell;
  }

  private InetSocketAddress address(int host, int port) {
    return new InetSocketAddress("127." + network + "." + cell + "." + host, port);
  }

  InetSocketAddress publicAddress(int controller) {
    return address(controller + 1, PUBLIC_PORT);
  }

  InetSocketAddress peerAddress(int controller) {
    return address(controller + 1, PEER_PORT);
  }

  InetSocketAddress store() {
    return address(STORE_HOST, STORE_PORT);
  }

  InetSocketAddress cloud() {
    return address(CLOUD_HOST, CLOUD_PORT);
  }

  /** Each cell has its own port for workers, so the same hosts serve all cells. */
  String workerHost(int index) {
    int workerNetwork = FIRST_WORKER_NETWORK + index / WORKERS_PER_NETWORK % WORKER_NETWORKS;
    return "127." + network + "." + workerNetwork + "." + (index % WORKERS_PER_NETWORK + 1);
  }

  /** The address as settings files give it. */
  static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
