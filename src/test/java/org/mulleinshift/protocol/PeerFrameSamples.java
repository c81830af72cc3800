package org.mulleinshift.protocol;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.BootTimeSamples;
import org.mulleinshift.protocol.peer.Heartbeat;
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
 * One frame body of each kind by the name of its golden file. Fields are set by name and hold
 * different values, so that two fields that change places change the bytes.
 */
final class PeerFrameSamples {
  private PeerFrameSamples() {}

  static Map<String, List<Object>> all() {
    Map<String, List<Object>> frames = new LinkedHashMap<>();
    frames.put("empty", List.of());
    frames.put("heartbeat", List.of(heartbeat()));
    frames.put("resignation", List.of(resignation()));
    frames.put("relay", List.of(relay()));
    frames.put("advice", List.of(advice()));
    frames.put("proof-request", List.of(proofRequest()));
    frames.put("proof-answer", List.of(proofAnswer()));
    frames.put("assignment", List.of(assignment()));
    frames.put("block-report", List.of(shardReport()));
    frames.put("reports-seen", List.of(reportsSeen()));
    frames.put("stranger-report", List.of(strangerReport()));
    frames.put("knock", List.of(suspicion()));
    frames.put("job-digest", List.of(jobDigest()));
    frames.put("several-bodies", List.of(suspicion(), heartbeat(), reportsSeen()));
    return frames;
  }

  private static Heartbeat heartbeat() {
    return Heartbeat.newBuilder()
        .setSessionLease(Long.MAX_VALUE)
        .setStoreSilenceMs(130)
        .setStoreLost(true)
        .setWorkers("DOUBTED")
        .setLeader("n-2")
        .setLeaderTerm(412)
        .setStandby("n-3")
        .setReplyImmediately(false)
        .setLastHeard(List.of(peerHeard("n-2", 40), peerHeard("n-3", 1_900)))
        .build();
  }

  private static PeerLastHeard peerHeard(String node, long silentMillis) {
    return PeerLastHeard.newBuilder().setNode(node).setSilenceMs(silentMillis).build();
  }

  private static LeadershipTransfer resignation() {
    return LeadershipTransfer.newBuilder().setTerm(413).setLease(7).setSuccessor("n-3").build();
  }

  private static RelayedFrame relay() {
    ByteBuffer frame = ByteBuffer.wrap(new byte[] {0, 1, -1, 127, -128});
    return RelayedFrame.newBuilder().setReceiver("n-4").setFrame(frame).build();
  }

  private static LearnedEstimates advice() {
    RunTimeRatio ratio = RunTimeRatio.newBuilder().setName("train").setRatio(1.25).build();
    BootTimeSamples boots =
        BootTimeSamples.newBuilder().setMachineType("g8").setSeconds(List.of(44.5, 61.0)).build();
    return LearnedEstimates.newBuilder()
        .setTerm(414)
        .setRunTimeRatios(List.of(ratio))
        .setBootTimes(List.of(boots))
        .build();
  }

  private static LeaseRenewalRequest proofRequest() {
    return LeaseRenewalRequest.newBuilder().setId(5).setLease(8).setSinceRevision(430).build();
  }

  private static LeaseRenewalResponse proofAnswer() {
    return LeaseRenewalResponse.newBuilder()
        .setId(5)
        .setLease(8)
        .setExpired(false)
        .setComplete(true)
        .setRevision(433)
        .setChanges(
            List.of(
                keyChange("c/g/a-0", "{\"holder\":\"n-2\"}", 431), keyChange("c/n/n-9", "", 432)))
        .build();
  }

  private static KeyChange keyChange(String key, String value, long version) {
    return KeyChange.newBuilder().setKey(key).setValue(value).setVersion(version).build();
  }

  private static ShardAssignment assignment() {
    return ShardAssignment.newBuilder()
        .setLeaderTerm(415)
        .setShard("a-0")
        .setGrant(416)
        .setBase(3)
        .setVersion(4)
        .setRemoved(List.of(RemovedTask.newBuilder().setJob("run-7").setIndex(11).build()))
        .setJobs(List.of(assignedJob()))
        .setCordoned(List.of("i-000003", "i-000004"))
        .build();
  }

  private static AssignedJob assignedJob() {
    return AssignedJob.newBuilder()
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
  }

  private static AssignedTask assignedTask(int index, long attempt, boolean fresh, boolean stop) {
    return AssignedTask.newBuilder()
        .setIndex(index)
        .setAttempt(attempt)
        .setFresh(fresh)
        .setStop(stop)
        .build();
  }

  private static ShardStatus shardReport() {
    return ShardStatus.newBuilder()
        .setShard("a-1")
        .setGrant(417)
        .setBase(21)
        .setSequence(22)
        .setSeenTerm(418)
        .setSeenVersion(5)
        .setMachines(List.of(machineReport()))
        .setTasks(List.of(taskReport()))
        .build();
  }

  private static MachineStatus machineReport() {
    return MachineStatus.newBuilder()
        .setMachine("i-000005")
        .setPhase("CONFIRMED")
        .setLiveness("QUIET")
        .setInterrupted(true)
        .setImages(List.of("img-07", "img-08"))
        .build();
  }

  private static TaskStatus taskReport() {
    return TaskStatus.newBuilder()
        .setJob("run-9")
        .setIndex(12)
        .setAttempt(6)
        .setPhase("RUNNING")
        .setMachine("i-000006")
        .setRanMs(4_321)
        .build();
  }

  private static ShardStatusAck reportsSeen() {
    return ShardStatusAck.newBuilder()
        .setLeaderTerm(419)
        .setShard("a-2")
        .setGrant(420)
        .setSequence(23)
        .build();
  }

  private static UnknownWorkerReport strangerReport() {
    return UnknownWorkerReport.newBuilder()
        .setMachine("i-000007")
        .setAddress("10.1.0.7:9000")
        .setMachineType("g4")
        .setZone("b")
        .setSpot(true)
        .build();
  }

  private static OwnerSuspicion suspicion() {
    return OwnerSuspicion.newBuilder()
        .setShard("a-3")
        .setGrant(421)
        .setMachines(List.of("i-000008", "i-000009"))
        .build();
  }

  private static JobSummary jobDigest() {
    JobTaskCounts count =
        JobTaskCounts.newBuilder().setJob("run-10").setDone(3).setRunning(13).build();
    return JobSummary.newBuilder().setCounts(List.of(count)).build();
  }
}
