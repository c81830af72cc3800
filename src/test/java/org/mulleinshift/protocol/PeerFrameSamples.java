package org.mulleinshift.protocol;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.BootTimeSamples;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.JobCancellation;
import org.mulleinshift.protocol.peer.JobCancellationAck;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.protocol.peer.KeyChange;
import org.mulleinshift.protocol.peer.LeadershipTransfer;
import org.mulleinshift.protocol.peer.LearnedEstimates;
import org.mulleinshift.protocol.peer.LeaseRenewalRequest;
import org.mulleinshift.protocol.peer.LeaseRenewalResponse;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.PeerLastHeard;
import org.mulleinshift.protocol.peer.RelayedFrame;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.RunTimeRatio;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;

/**
 * Peer frames with each kind of message, by the name of their golden file. Fields are set by name
 * and hold different values, so that swapped fields change the bytes.
 */
final class PeerFrameSamples {
  private static final byte[] RELAYED_BYTES = {0, 1, -1, 127, -128};

  private static final Heartbeat HEARTBEAT =
      Heartbeat.newBuilder()
          .setSessionLease(Long.MAX_VALUE)
          .setStoreSilenceMs(130)
          .setStoreLost(true)
          .setWorkers("DOUBTED")
          .setLeader("n-2")
          .setLeaderTerm(412)
          .setStandby("n-3")
          .setReplyImmediately(false)
          .setLastHeard(List.of(peerLastHeard("n-2", 40), peerLastHeard("n-3", 1_900)))
          .build();

  private static final LeadershipTransfer LEADERSHIP_TRANSFER =
      LeadershipTransfer.newBuilder().setTerm(413).setLease(7).setSuccessor("n-3").build();

  private static final LearnedEstimates LEARNED_ESTIMATES =
      LearnedEstimates.newBuilder()
          .setTerm(414)
          .setRunTimeRatios(
              List.of(RunTimeRatio.newBuilder().setName("train").setRatio(1.25).build()))
          .setBootTimes(
              List.of(
                  BootTimeSamples.newBuilder()
                      .setMachineType("g8")
                      .setSeconds(List.of(44.5, 61.0))
                      .build()))
          .build();

  private static final LeaseRenewalRequest LEASE_RENEWAL_REQUEST =
      LeaseRenewalRequest.newBuilder().setId(5).setLease(8).setSinceRevision(430).build();

  private static final LeaseRenewalResponse LEASE_RENEWAL_RESPONSE =
      LeaseRenewalResponse.newBuilder()
          .setId(5)
          .setLease(8)
          .setExpired(false)
          .setComplete(true)
          .setRevision(433)
          .setChanges(
              List.of(
                  keyChange("c/g/a-0", "{\"holder\":\"n-2\"}", 431), keyChange("c/n/n-9", "", 432)))
          .build();

  private static final AssignedJob ASSIGNED_JOB =
      AssignedJob.newBuilder()
          .setJob("run-8")
          .setCpus(8.0)
          .setGpus(1.0)
          .setMemoryGb(64.5)
          .setImage("img-07")
          .setImageGb(6.2)
          .setSaveSeconds(4.25)
          .setMachineTypes(List.of("g8", "g4"))
          .setSpotAllowed(true)
          .setRank(17)
          .setTasks(
              List.of(assignedTask(99_999, 1L << 40, true, false), assignedTask(2, 3, false, true)))
          .build();

  private static final ShardAssignment SHARD_ASSIGNMENT =
      ShardAssignment.newBuilder()
          .setLeaderTerm(415)
          .setShard("a-0")
          .setGrant(416)
          .setBase(3)
          .setVersion(4)
          .setRemoved(List.of(RemovedTask.newBuilder().setJob("run-7").setIndex(11).build()))
          .setJobs(List.of(ASSIGNED_JOB))
          .setCordoned(List.of("i-000003", "i-000004"))
          .build();

  private static final MachineStatus MACHINE_STATUS =
      MachineStatus.newBuilder()
          .setMachine("i-000005")
          .setPhase("CONFIRMED")
          .setLiveness("QUIET")
          .setInterrupted(true)
          .setImages(List.of("img-07", "img-08"))
          .build();

  private static final TaskStatus TASK_STATUS =
      TaskStatus.newBuilder()
          .setJob("run-9")
          .setIndex(12)
          .setAttempt(6)
          .setPhase("RUNNING")
          .setMachine("i-000006")
          .setRanMs(4_321)
          .build();

  private static final ShardStatus SHARD_STATUS =
      ShardStatus.newBuilder()
          .setShard("a-1")
          .setGrant(417)
          .setBase(21)
          .setSequence(22)
          .setSeenTerm(418)
          .setSeenVersion(5)
          .setMachines(List.of(MACHINE_STATUS))
          .setTasks(List.of(TASK_STATUS))
          .build();

  private static final ShardStatusAck SHARD_STATUS_ACK =
      ShardStatusAck.newBuilder()
          .setLeaderTerm(419)
          .setShard("a-2")
          .setGrant(420)
          .setSequence(23)
          .build();

  private static final UnknownWorkerReport UNKNOWN_WORKER_REPORT =
      UnknownWorkerReport.newBuilder()
          .setMachine("i-000007")
          .setAddress("10.1.0.7:9000")
          .setMachineType("g4")
          .setZone("b")
          .setSpot(true)
          .build();

  private static final OwnerSuspicion OWNER_SUSPICION =
      OwnerSuspicion.newBuilder()
          .setShard("a-3")
          .setGrant(421)
          .setMachines(List.of("i-000008", "i-000009"))
          .build();

  private static final JobSummary JOB_SUMMARY =
      JobSummary.newBuilder()
          .setCounts(
              List.of(
                  JobTaskCounts.newBuilder().setJob("run-10").setDone(3).setRunning(13).build()))
          .build();

  private PeerFrameSamples() {}

  static Map<String, List<Object>> all() {
    Map<String, List<Object>> frames = new LinkedHashMap<>();
    frames.put("empty", List.of());
    frames.put("heartbeat", List.of(HEARTBEAT));
    frames.put("resignation", List.of(LEADERSHIP_TRANSFER));
    frames.put("relay", List.of(relayedFrame()));
    frames.put("advice", List.of(LEARNED_ESTIMATES));
    frames.put("proof-request", List.of(LEASE_RENEWAL_REQUEST));
    frames.put("proof-answer", List.of(LEASE_RENEWAL_RESPONSE));
    frames.put("assignment", List.of(SHARD_ASSIGNMENT));
    frames.put("block-report", List.of(SHARD_STATUS));
    frames.put("reports-seen", List.of(SHARD_STATUS_ACK));
    frames.put("stranger-report", List.of(UNKNOWN_WORKER_REPORT));
    frames.put("knock", List.of(OWNER_SUSPICION));
    frames.put("job-digest", List.of(JOB_SUMMARY));
    frames.put("cancellation", List.of(new JobCancellation("run-11")));
    frames.put("cancellation-ack", List.of(new JobCancellationAck("run-12")));
    frames.put("several-bodies", List.of(OWNER_SUSPICION, HEARTBEAT, SHARD_STATUS_ACK));
    return frames;
  }

  private static PeerLastHeard peerLastHeard(String node, long silenceMillis) {
    return PeerLastHeard.newBuilder().setNode(node).setSilenceMs(silenceMillis).build();
  }

  /** Creates a new frame each time, since reading its byte buffer moves the buffer's position. */
  private static RelayedFrame relayedFrame() {
    return RelayedFrame.newBuilder()
        .setReceiver("n-4")
        .setFrame(ByteBuffer.wrap(RELAYED_BYTES.clone()))
        .build();
  }

  private static KeyChange keyChange(String key, String value, long version) {
    return KeyChange.newBuilder().setKey(key).setValue(value).setVersion(version).build();
  }

  private static AssignedTask assignedTask(int index, long attempt, boolean fresh, boolean stop) {
    return AssignedTask.newBuilder()
        .setIndex(index)
        .setAttempt(attempt)
        .setFresh(fresh)
        .setStop(stop)
        .build();
  }
}
