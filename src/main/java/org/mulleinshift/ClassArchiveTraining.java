package org.mulleinshift;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.JdkAsyncHttpClient;
import org.mulleinshift.transport.ThreadEventLoop;
import org.slf4j.Logger;

/** Goes through a start once at build time, so that its classes land in the class archive. */
final class ClassArchiveTraining {
  private static final Duration LENGTH = Duration.ofSeconds(9);

  private ClassArchiveTraining() {}

  private static List<Object> frames() {
    AssignedTask task = new AssignedTask(1, 1L, true, false);
    AssignedJob job =
        new AssignedJob("j", 1.0, 0.0, 1.0, "b", 1.0, 0.0, List.of("r"), true, 1, List.of(task));
    return List.of(
        new Heartbeat(1L, 1L, false, "WELL", "", 0L, "", false, List.of()),
        new ShardAssignment(
            1L, "b", 1L, 0L, 1L, List.of(new RemovedTask("j", 2)), List.of(job), List.of("i-2")),
        new ShardStatus(
            "b",
            1L,
            0L,
            1L,
            1L,
            1L,
            List.of(new MachineStatus("i-1", "CONFIRMED", "HEARD", false, List.of("b"))),
            List.of(new TaskStatus("j", 1, 1L, "RUNNING", "i-1", 5L))),
        new ShardStatusAck(1L, "b", 1L, 1L),
        new OwnerSuspicion("b", 1L, List.of("i-1")),
        new UnknownWorkerReport("i-3", "127.0.0.1:1", "r", "here", true),
        new JobSummary(List.of(new JobTaskCounts("j", 1, 1))));
  }

  /** Beside the controller, in the same process: all that it meets in its first seconds. */
  static void run(
      ThreadEventLoop loop, InetSocketAddress address, Runnable startController, Logger log)
      throws InterruptedException {
    loop.post(startController);
    try {
      PeerCodec codec = new PeerCodec();
      codec.read(codec.write(new NodeId("rehearsal"), frames()));
      StoreCodec.parseRange("{\"rows\":[{\"k\":\"a\",\"value\":{},\"stamp\":1}],\"epoch\":1}");
      WorkerCodec.parseHeartbeat("{\"host\":\"a\",\"pieces\":[]}");
    } catch (MalformedMessageException e) {
      log.debug("rehearsed: {}", e.getMessage());
    }
    JdkAsyncHttpClient caller = new JdkAsyncHttpClient("rehearsal", loop, 1, 8);
    loop.post(new TrainingWorker(loop, caller, address)::start);
    loop.post(
        () ->
            caller.call(
                address,
                HttpRequest.post(JobCodec.JOBS_PATH, "{\"ref\":1}", Duration.ofSeconds(1)),
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
