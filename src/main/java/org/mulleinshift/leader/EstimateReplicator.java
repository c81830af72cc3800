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
 * What a leader learns and nobody stores: run times by class, boot times by type. It tells its
 * standby, so that a new leader's first walks need not guess. Advice only: whatever a rule hangs on
 * is read from the store.
 */
public final class EstimateReplicator {
  private static final Logger LOG = LoggerFactory.getLogger(EstimateReplicator.class);
  private static final int MAX_CLASSES = 256;
  private static final int MAX_TYPES = 64;
  private static final Duration MAX_AGE = Duration.ofMinutes(2);
  private static final Duration RESEND_INTERVAL = Duration.ofSeconds(10);

  private final EventLoop loop;
  private final RunTimeEstimator runTimes;
  private Optional<LearnedEstimates> received = Optional.empty();
  private MonotonicTime receivedAt;
  private Optional<LearnedEstimates> sent = Optional.empty();
  private Optional<NodeId> sentTo = Optional.empty();
  private MonotonicTime sentAt;

  public EstimateReplicator(EventLoop loop, RunTimeEstimator runTimes) {
    this.loop = loop;
    this.runTimes = runTimes;
    this.receivedAt = loop.now();
    this.sentAt = receivedAt;
  }

  /** A leader's message; one of an earlier term than the last is out of date. */
  public void onEstimates(LearnedEstimates advice) {
    if (received.filter(known -> known.getTerm() > advice.getTerm()).isEmpty()) {
      received = Optional.of(advice);
      receivedAt = loop.now();
    }
  }

  /** A new leader starts from what the last one learned, if that is not too old. */
  void apply(BootTimeEstimator boots) {
    Duration age = loop.now().since(receivedAt);
    if (received.isEmpty() || age.compareTo(MAX_AGE) > 0) {
      LOG.info("no advice of an earlier leader");
      return;
    }
    LearnedEstimates advice = received.get();
    advice.getRunTimeRatios().forEach(item -> runTimes.learn(item.getName(), item.getRatio()));
    advice
        .getBootTimes()
        .forEach(item -> boots.learn(new MachineTypeId(item.getMachineType()), item.getSeconds()));
    LOG.info(
        "advice of term {}, {} ms old: {} classes, {} types",
        advice.getTerm(),
        age.toMillis(),
        advice.getRunTimeRatios().size(),
        advice.getBootTimes().size());
  }

  /** What the standby should hear now; none if it knows. */
  Optional<LearnedEstimates> next(long term, BootTimeEstimator boots, NodeId standby) {
    List<RunTimeRatio> classes = new ArrayList<>();
    runTimes.ratios(MAX_CLASSES).forEach((name, r) -> classes.add(new RunTimeRatio(name, r)));
    List<BootTimeSamples> seen = new ArrayList<>();
    boots.latest().entrySet().stream()
        .limit(MAX_TYPES)
        .forEach(e -> seen.add(new BootTimeSamples(e.getKey().value(), e.getValue())));
    Optional<LearnedEstimates> advice = Optional.of(new LearnedEstimates(term, classes, seen));
    boolean known =
        advice.equals(sent)
            && sentTo.equals(Optional.of(standby))
            && loop.now().since(sentAt).compareTo(RESEND_INTERVAL) < 0;
    if (known) {
      return Optional.empty();
    }
    sent = advice;
    sentTo = Optional.of(standby);
    sentAt = loop.now();
    return advice;
  }
}
