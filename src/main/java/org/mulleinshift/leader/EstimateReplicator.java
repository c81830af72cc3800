package org.mulleinshift.leader;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mulleinshift.autoscaling.BootTimeEstimator;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.BootTimeSamples;
import org.mulleinshift.protocol.peer.LearnedEstimates;
import org.mulleinshift.protocol.peer.RunTimeRatio;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicates the leader's learned estimates, which are not stored, to its standby: run times by job
 * class and boot times by machine type. With them the first scheduling cycles of a new leader do
 * not have to start from defaults. Whatever a guarantee depends on is read from the store instead.
 */
public final class EstimateReplicator {
  private static final Logger LOG = LoggerFactory.getLogger(EstimateReplicator.class);
  private static final int MAX_JOB_CLASSES = 256;
  private static final int MAX_MACHINE_TYPES = 64;
  private static final Duration MAX_ESTIMATE_AGE = Duration.ofMinutes(2);
  private static final Duration RESEND_INTERVAL = Duration.ofSeconds(10);

  private final EventLoop loop;
  private final RunTimeEstimator runTimes;
  private Optional<LearnedEstimates> received = Optional.empty();
  private MonotonicTime receivedAt;
  private Optional<LearnedEstimates> sent = Optional.empty();
  private Optional<NodeId> sentTo = Optional.empty();
  private MonotonicTime sentAt;

  /**
   * Creates a replicator that has received and sent nothing.
   *
   * @param loop the event loop, used for its clock
   * @param runTimes learned run times, which outlive a term
   */
  public EstimateReplicator(EventLoop loop, RunTimeEstimator runTimes) {
    this.loop = loop;
    this.runTimes = runTimes;
    this.receivedAt = loop.now();
    this.sentAt = receivedAt;
  }

  /** Keeps estimates received from a leader, unless those already kept are of a later term. */
  public void onEstimates(LearnedEstimates estimates) {
    if (received.filter(known -> known.getTerm() > estimates.getTerm()).isEmpty()) {
      received = Optional.of(estimates);
      receivedAt = loop.now();
    }
  }

  /** Applies the estimates received from an earlier leader, if they are recent enough. */
  void applyReceived(BootTimeEstimator bootTimes) {
    Duration age = loop.now().since(receivedAt);
    if (received.isEmpty() || age.compareTo(MAX_ESTIMATE_AGE) > 0) {
      LOG.info("no estimates of an earlier leader applied");
      return;
    }
    LearnedEstimates estimates = received.get();
    estimates
        .getRunTimeRatios()
        .forEach(item -> runTimes.adoptRatio(item.getName(), item.getRatio()));
    estimates
        .getBootTimes()
        .forEach(
            item ->
                bootTimes.loadSamples(new MachineTypeId(item.getMachineType()), item.getSeconds()));
    LOG.info(
        "estimates of an earlier leader applied, term={} age_ms={} classes={} machine_types={}",
        estimates.getTerm(),
        age.toMillis(),
        estimates.getRunTimeRatios().size(),
        estimates.getBootTimes().size());
  }

  /** The estimates to send to the standby now; empty if the same ones were sent to it recently. */
  Optional<LearnedEstimates> nextUpdate(long term, BootTimeEstimator bootTimes, NodeId standby) {
    LearnedEstimates estimates =
        new LearnedEstimates(term, runTimeRatios(), bootTimeSamples(bootTimes));
    if (recentlySent(estimates, standby)) {
      return Optional.empty();
    }
    sent = Optional.of(estimates);
    sentTo = Optional.of(standby);
    sentAt = loop.now();
    return sent;
  }

  private List<RunTimeRatio> runTimeRatios() {
    List<RunTimeRatio> ratios = new ArrayList<>();
    runTimes
        .ratios(MAX_JOB_CLASSES)
        .forEach((jobClass, ratio) -> ratios.add(new RunTimeRatio(jobClass, ratio)));
    return ratios;
  }

  private static List<BootTimeSamples> bootTimeSamples(BootTimeEstimator bootTimes) {
    List<BootTimeSamples> samples = new ArrayList<>();
    bootTimes.latestSamples().entrySet().stream()
        .limit(MAX_MACHINE_TYPES)
        .forEach(
            entry -> samples.add(new BootTimeSamples(entry.getKey().value(), entry.getValue())));
    return samples;
  }

  private boolean recentlySent(LearnedEstimates estimates, NodeId standby) {
    return sent.equals(Optional.of(estimates))
        && sentTo.equals(Optional.of(standby))
        && loop.now().since(sentAt).compareTo(RESEND_INTERVAL) < 0;
  }
}
