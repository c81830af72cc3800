package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.protocol.HeartbeatVersion;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.HttpRequest;

/**
 * Probes workers to find out whether they are reachable. A heartbeat from an unknown machine, or
 * from one that its owner does not respond to, may be a delayed duplicate from a machine that no
 * longer exists; only a response to a probe shows that it does.
 */
final class WorkerProber {
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1200);
  private static final int MAX_PROBES = 64;

  /**
   * Messages that a worker may have sent since a heartbeat that still counts as recent: the
   * response to the probe itself, and responses to direct commands that coincide with it.
   */
  private static final int MAX_SEQUENCE_LAG = 4;

  private final AsyncHttpClient workers;
  private final Set<MachineId> inFlight = new HashSet<>();

  /** Creates a prober without probes in flight. */
  WorkerProber(AsyncHttpClient workers) {
    this.workers = workers;
  }

  /**
   * Probes the worker that sent the heartbeat. Does nothing if its address is invalid, a probe of
   * it is in flight, or too many probes are.
   *
   * @param onReachable run if the worker responds and the heartbeat is one of its latest messages
   */
  void probe(WorkerHeartbeat heartbeat, Runnable onReachable) {
    Optional<InetSocketAddress> address = WorkerAddress.parse(heartbeat.address());
    if (address.isEmpty() || inFlight.size() >= MAX_PROBES || !inFlight.add(heartbeat.machine())) {
      return;
    }
    workers.call(
        address.get(),
        HttpRequest.get(WorkerCodec.STATUS_PATH, PROBE_TIMEOUT),
        reply -> {
          inFlight.remove(heartbeat.machine());
          if (reply.isOk() && isRecent(heartbeat, reply.body())) {
            onReachable.run();
          }
        });
  }

  /** Whether the worker is in the same epoch and has sent few messages since the heartbeat. */
  private static boolean isRecent(WorkerHeartbeat heartbeat, String status) {
    try {
      HeartbeatVersion current = WorkerCodec.parseHeartbeat(status).version();
      HeartbeatVersion received = heartbeat.version();
      return current.epoch() == received.epoch()
          && current.sequence() - received.sequence() <= MAX_SEQUENCE_LAG;
    } catch (MalformedMessageException e) {
      return false;
    }
  }
}
