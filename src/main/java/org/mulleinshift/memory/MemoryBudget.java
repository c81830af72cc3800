package org.mulleinshift.memory;

/**
 * Divides a node's memory between the heap, connections and queues. The platform states the node's
 * memory only in the settings file, which the virtual machine does not read: the heap limit on the
 * command line is that of the largest nodes, and {@link HeapMonitor} enforces the lower limit of a
 * smaller node.
 *
 * @param heapLimitBytes limit of the heap
 * @param maxIdleConnections how many HTTP connections may be kept open between requests
 * @param userBodyBytes limit of users' request bodies that wait for the event loop
 * @param heartbeatBodyBytes limit of workers' heartbeats that wait for the event loop
 * @param peerQueueBytes limit of the frames that wait to be sent to one peer
 * @param peerIncomingBytes limit of the frames received from all peers that wait for the event loop
 */
public record MemoryBudget(
    long heapLimitBytes,
    int maxIdleConnections,
    int userBodyBytes,
    int heartbeatBodyBytes,
    int peerQueueBytes,
    int peerIncomingBytes) {
  private static final long MIB = 1 << 20;

  /** Share of the node's memory that is allocated to the process; the rest is a reserve. */
  private static final double USABLE_SHARE = 0.9;

  /** Code, classes, thread stacks, buffers outside the heap and the collector's own data. */
  private static final long OUTSIDE_HEAP_BYTES = 64 * MIB;

  private static final long MIN_HEAP_BYTES = 40 * MIB;

  /** Heap usage of an open connection: the server's buffers and bookkeeping. */
  private static final long BYTES_PER_CONNECTION = 24 * 1024;

  private static final double CONNECTION_HEAP_SHARE = 0.35;
  private static final double SOCKET_SHARE = 0.8;
  private static final int MIN_IDLE_CONNECTIONS = 16;

  /** Limits of the queues: the size of the heap divided by these numbers. */
  private static final int USER_BODY_DIVISOR = 24;

  private static final int HEARTBEAT_BODY_DIVISOR = 12;
  private static final int PEER_QUEUE_DIVISOR = 48;
  private static final int PEER_INCOMING_DIVISOR = 24;

  /**
   * Returns the budget for a node.
   *
   * @param memoryMb memory of the node in MiB
   * @param sockets how many sockets the node may open
   * @param maxHeapBytes maximum heap size of the virtual machine
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
