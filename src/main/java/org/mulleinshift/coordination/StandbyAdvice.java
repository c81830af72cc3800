package org.mulleinshift.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.Advice;
import org.mulleinshift.protocol.peer.BootsSeen;
import org.mulleinshift.protocol.peer.ClassRatio;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.SteadyTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader learns and nobody stores: run times by class, boot times by type. It tells its
 * standby, so that a new leader's first walks need not guess. Advice only: whatever a rule hangs on
 * is read from the store.
 */
final class StandbyAdvice {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyAdvice.class);
  private static final int MOST_CLASSES = 256;
  private static final int MOST_TYPES = 64;
  private static final Duration USELESS = Duration.ofMinutes(2);
  private static final Duration AGAIN = Duration.ofSeconds(10);

  private final EventLoop loop;
  private final RunTimes runTimes;
  private Optional<Advice> heard = Optional.empty();
  private SteadyTime heardAt;
  private Optional<Advice> sent = Optional.empty();
  private Optional<NodeId> sentTo = Optional.empty();
  private SteadyTime sentAt;

  StandbyAdvice(EventLoop loop, RunTimes runTimes) {
    this.loop = loop;
    this.runTimes = runTimes;
    this.heardAt = loop.now();
    this.sentAt = heardAt;
  }

  /** A leader's message; one of an earlier term than the last is out of date. */
  void onAdvice(Advice advice) {
    if (heard.filter(known -> known.getTerm() > advice.getTerm()).isEmpty()) {
      heard = Optional.of(advice);
      heardAt = loop.now();
    }
  }

  /** A new leader starts from what the last one learned, if that is not too old. */
  void apply(BootTimes boots) {
    Duration age = loop.now().since(heardAt);
    if (heard.isEmpty() || age.compareTo(USELESS) > 0) {
      LOG.info("no advice of an earlier leader");
      return;
    }
    Advice advice = heard.get();
    advice.getClasses().forEach(item -> runTimes.advise(item.getName(), item.getRatio()));
    advice
        .getBoots()
        .forEach(item -> boots.advise(new MachineTypeId(item.getMachineType()), item.getSeconds()));
    LOG.info(
        "advice of term {}, {} ms old: {} classes, {} types",
        advice.getTerm(),
        age.toMillis(),
        advice.getClasses().size(),
        advice.getBoots().size());
  }

  /** What the standby should hear now; none if it knows. */
  Optional<Advice> next(long term, BootTimes boots, NodeId standby) {
    List<ClassRatio> classes = new ArrayList<>();
    runTimes.ratios(MOST_CLASSES).forEach((name, r) -> classes.add(new ClassRatio(name, r)));
    List<BootsSeen> seen = new ArrayList<>();
    boots.latest().entrySet().stream()
        .limit(MOST_TYPES)
        .forEach(e -> seen.add(new BootsSeen(e.getKey().value(), e.getValue())));
    Optional<Advice> advice = Optional.of(new Advice(term, classes, seen));
    boolean known =
        advice.equals(sent)
            && sentTo.equals(Optional.of(standby))
            && loop.now().since(sentAt).compareTo(AGAIN) < 0;
    if (known) {
      return Optional.empty();
    }
    sent = advice;
    sentTo = Optional.of(standby);
    sentAt = loop.now();
    return advice;
  }
}
