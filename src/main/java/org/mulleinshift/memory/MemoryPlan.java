package org.mulleinshift.memory;

/**
 * How the memory of a node is shared out. The platform gives a node its amount in the settings file
 * only, which the virtual machine does not read: the heap's limit on the command line serves the
 * largest nodes, and what a smaller one may use of it is kept by {@link HeapMonitor}.
 *
 * @param heapBytes what objects may take
 * @param idleConnections connections kept open between two requests
 * @param userBodyBytes bodies of users' requests that wait for the event loop
 * @param reportBodyBytes bodies of workers' reports that wait for it
 * @param peerQueueBytes frames that wait for one peer
 * @param peerIncomingBytes frames of all peers that wait for the event loop
 */
public record MemoryPlan(
    long heapBytes,
    int idleConnections,
    int userBodyBytes,
    int reportBodyBytes,
    int peerQueueBytes,
    int peerIncomingBytes) {
  private static final long MIB = 1 << 20;

  /** Of the node's memory; the rest is for what the process can't foresee. */
  private static final double USABLE = 0.9;

  /** Measured: code, classes, thread stacks, buffers outside the heap, the collector's tables. */
  private static final long OUTSIDE_HEAP = 64 * MIB;

  private static final long MIN_HEAP = 40 * MIB;

  /** Measured: what the server keeps of an open connection in buffers and bookkeeping. */
  private static final long CONNECTION_BYTES = 24 * 1024;

  private static final double CONNECTION_SHARE = 0.35;
  private static final double SOCKET_SHARE = 0.8;

  /** For a node of so much memory and so many sockets, under a heap limit of the process. */
  public static MemoryPlan of(double memoryMb, int sockets, long maxHeapBytes) {
    long wanted = (long) (USABLE * memoryMb * MIB) - OUTSIDE_HEAP;
    long heap = Math.min(maxHeapBytes, Math.max(MIN_HEAP, wanted));
    int idle = (int) Math.min(SOCKET_SHARE * sockets, CONNECTION_SHARE * heap / CONNECTION_BYTES);
    return new MemoryPlan(
        heap,
        Math.max(16, idle),
        (int) (heap / 24),
        (int) (heap / 12),
        (int) (heap / 48),
        (int) (heap / 24));
  }
}
