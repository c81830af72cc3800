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
 * Asks a worker whether it is there. The heartbeat of a machine that nobody knows, or that its
 * owner does not answer, may be a late copy, and the machine long gone: only one that can be asked
 * is there.
 */
final class WorkerProber {
  private static final Duration PROBE_DEADLINE = Duration.ofMillis(1200);
  private static final int MAX_PROBES = 64;

  /** The answer itself, and answers to direct commands that meet the probe. */
  private static final int MAX_SEQUENCE_LAG = 4;

  private final AsyncHttpClient workers;
  private final Set<MachineId> inFlight = new HashSet<>();

  /** A prober with nothing in flight. */
  WorkerProber(AsyncHttpClient workers) {
    this.workers = workers;
  }

  /**
   * Probes the worker that sent the heartbeat, unless a probe of it is in flight or too many are.
   *
   * @param onReachable run if the worker answers and the heartbeat is one of its last messages
   */
  void probe(WorkerHeartbeat heartbeat, Runnable onReachable) {
    Optional<InetSocketAddress> address = WorkerAddress.parse(heartbeat.address());
    if (address.isEmpty() || inFlight.size() >= MAX_PROBES || !inFlight.add(heartbeat.machine())) {
      return;
    }
    workers.call(
        address.get(),
        HttpRequest.get(WorkerCodec.STATUS_PATH, PROBE_DEADLINE),
        reply -> {
          inFlight.remove(heartbeat.machine());
          if (reply.isOk() && isRecent(heartbeat, reply.body())) {
            onReachable.run();
          }
        });
  }

  /** A copy that arrives late has been followed by other messages of its worker. */
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
