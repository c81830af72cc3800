package org.mulleinshift.memory;

/**
 * How the memory of a node is divided. The platform states a node's memory in the settings file
 * only, which the virtual machine does not read: the heapBytes limit on the command line is that of
 * the largest nodes, and {@link HeapMonitor} enforces the lower limit of a smaller one.
 *
 * @param heapLimitBytes limit of the heapBytes
 * @param maxIdleConnections connections kept open between two requests
 * @param userBodyBytes bodies of users' requests that wait for the event loop
 * @param heartbeatBodyBytes bodies of workers' heartbeats that wait for the event loop
 * @param peerQueueBytes frames that wait to be sent to one peer
 * @param peerIncomingBytes frames of all peers that wait for the event loop
 */
public record MemoryBudget(
    long heapLimitBytes,
    int maxIdleConnections,
    int userBodyBytes,
    int heartbeatBodyBytes,
    int peerQueueBytes,
    int peerIncomingBytes) {
  private static final long MIB = 1 << 20;

  /** Share of the node's memory that is planned for; the rest is a reserve. */
  private static final double USABLE_SHARE = 0.9;

  /** Measured: code, classes, thread stacks, buffers outside the heap, the collector's tables. */
  private static final long OUTSIDE_HEAP_BYTES = 64 * MIB;

  private static final long MIN_HEAP_BYTES = 40 * MIB;

  /** Measured: what the server keeps of an open connection in buffers and bookkeeping. */
  private static final long BYTES_PER_CONNECTION = 24 * 1024;

  private static final double CONNECTION_HEAP_SHARE = 0.35;
  private static final double SOCKET_SHARE = 0.8;
  private static final int MIN_IDLE_CONNECTIONS = 16;

  /** Each of these queues may take one part of so many of the heap. */
  private static final int USER_BODY_DIVISOR = 24;

  private static final int HEARTBEAT_BODY_DIVISOR = 12;
  private static final int PEER_QUEUE_DIVISOR = 48;
  private static final int PEER_INCOMING_DIVISOR = 24;

  /**
   * The plan for a node.
   *
   * @param memoryMb memory of the node in MiB
   * @param sockets sockets that the node may open
   * @param maxHeapBytes heap limit of the process
   */
  public static MemoryBudget of(double memoryMb, int sockets, long maxHeapBytes) {
    long availableBytes = (long) (USABLE_SHARE * memoryMb * MIB) - OUTSIDE_HEAP_BYTES;
    long heapBytes = Math.min(maxHeapBytes, Math.max(MIN_HEAP_BYTES, availableBytes));
    int idle =
        (int)
            Math.min(
                SOCKET_SHARE * sockets, CONNECTION_HEAP_SHARE * heapBytes / BYTES_PER_CONNECTION);
    return new MemoryBudget(
        heapBytes,
        Math.max(MIN_IDLE_CONNECTIONS, idle),
        (int) (heapBytes / USER_BODY_DIVISOR),
        (int) (heapBytes / HEARTBEAT_BODY_DIVISOR),
        (int) (heapBytes / PEER_QUEUE_DIVISOR),
        (int) (heapBytes / PEER_INCOMING_DIVISOR));
  }
}
