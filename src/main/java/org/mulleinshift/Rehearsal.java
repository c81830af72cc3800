package org.mulleinshift;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.StateCodec;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.JdkHttpCaller;
import org.mulleinshift.transport.ThreadEventLoop;
import org.slf4j.Logger;

/** Goes through a start once at build time, so that its classes land in the class archive. */
final class Rehearsal {
  private static final Duration LENGTH = Duration.ofSeconds(3);

  private Rehearsal() {}

  static void run(ThreadEventLoop loop, InetSocketAddress address, Logger log)
      throws InterruptedException {
    try {
      PeerCodec codec = new PeerCodec();
      codec.read(codec.write(new NodeId("rehearsal"), List.of(new Heartbeat(1L, 1L, false))));
      StateCodec.parseRange("{\"rows\":[{\"k\":\"a\",\"value\":{},\"stamp\":1}],\"epoch\":1}");
      WorkerCodec.parseReport("{\"host\":\"a\",\"pieces\":[]}");
    } catch (BadMessage e) {
      log.debug("rehearsed: {}", e.getMessage());
    }
    JdkHttpCaller caller = new JdkHttpCaller("rehearsal", loop, 1, 8);
    loop.post(
        () ->
            caller.call(
                address,
                HttpRequest.post(JobCodec.RUNS, "{\"ref\":1}", Duration.ofSeconds(1)),
                reply -> log.info("rehearsed: {}", reply.status())));
    Thread end =
        new Thread(
            () -> {
              try {
                Thread.sleep(LENGTH.toMillis());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              System.exit(0);
            });
    end.setDaemon(true);
    end.start();
    loop.run();
  }
}
