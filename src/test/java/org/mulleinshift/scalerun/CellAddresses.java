package org.mulleinshift.scalerun;

import java.net.InetSocketAddress;

/** Loopback addresses of one cell's controllers, simulated services and workers. */
final class CellAddresses {
  private static final int STORE_PORT = 2379;
  private static final int CLOUD_PORT = 8443;
  private static final int PUBLIC_PORT = 8080;
  private static final int PEER_PORT = 8081;
  private static final int STORE_HOST = 101;
  private static final int CLOUD_HOST = 102;

  /** Lowest third octet of workers' addresses; lower ones are cell numbers. */
  private static final int FIRST_WORKER_NETWORK = 16;

  private static final int WORKERS_PER_NETWORK = 250;
  private static final int WORKER_NETWORKS = 240;

  private final int network;
  private final int cell;

  /**
   * The addresses of a cell.
   *
   * @param network second octet of all addresses
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

  /** Host of a worker; all cells share these hosts because each cell has its own worker port. */
  String workerHost(int index) {
    int workerNetwork = FIRST_WORKER_NETWORK + index / WORKERS_PER_NETWORK % WORKER_NETWORKS;
    return "127." + network + "." + workerNetwork + "." + (index % WORKERS_PER_NETWORK + 1);
  }

  /** The address as {@code host:port}, the form used in settings files. */
  static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
