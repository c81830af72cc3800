package org.mulleinshift.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.transport.MonotonicTime;

/** Tests expected boot times, and the boot status of machines that boot late. */
class BootTimeEstimatorTest {
  private static final double DEFAULT_SECONDS = 90;
  private static final double ABANDON_FACTOR = 3;
  private static final MachineTypeId TYPE_ID = new MachineTypeId("c4");
  private static final MachineType TYPE = type(Duration.ofSeconds(60));
  private static final MonotonicTime START = new MonotonicTime(0);

  private final BootTimeEstimator estimator =
      new BootTimeEstimator(DEFAULT_SECONDS, ABANDON_FACTOR);

  private static MachineType type(Duration boot) {
    return new MachineType(TYPE_ID, new Resources(4, 0, 4), 10, 1, 2, 1, boot, List.of());
  }

  private static MonotonicTime at(long seconds) {
    return START.plus(Duration.ofSeconds(seconds));
  }

  @Test
  void listedTimeIsExpectedWithoutSamples() {
    assertEquals(60, estimator.expectedSeconds(TYPE), "the type lists 60 s");
    assertEquals(
        DEFAULT_SECONDS, estimator.expectedSeconds(type(Duration.ZERO)), "the type lists none");
  }

  @ParameterizedTest
  @CsvSource({"50, 50", "1, 36", "200, 200"})
  void medianIsExpectedButNoSmallPartOfTheListedTime(double bootSeconds, double expected) {
    // Given three boots, of which two took the same time
    estimator.onUp(TYPE_ID, at(0), Optional.of(bootSeconds));
    estimator.onUp(TYPE_ID, at(1), Optional.of(bootSeconds));
    estimator.onUp(TYPE_ID, at(2), Optional.of(80.0));
    // Then their median counts, but at least 0.6 of the boot time in the catalog
    assertEquals(expected, estimator.expectedSeconds(TYPE), 1e-9, "boots of " + bootSeconds + " s");
  }

  @Test
  void samplesOfAnotherLeaderDoNotReplaceOwnOnes() {
    // Given a boot that this leader measured
    estimator.onUp(TYPE_ID, at(0), Optional.of(50.0));
    // When it loads what another leader measured
    estimator.loadSamples(TYPE_ID, List.of(70.0, 80.0));
    // Then only its own counts
    assertEquals(Map.of(TYPE_ID, List.of(50.0)), estimator.latestSamples(), "own samples stay");
  }

  @ParameterizedTest
  @CsvSource({"90, ON_TIME", "91, DELAYED", "490, DELAYED", "491, ABANDONED"})
  void machineIsDelayedWhileNoneOfItsTypeComesUp(
      long bootingSeconds, BootTimeEstimator.BootStatus bootStatus) {
    assertEquals(
        bootStatus,
        estimator.bootStatus(TYPE, START, at(bootingSeconds)),
        "booting for " + bootingSeconds + " s");
  }

  @ParameterizedTest
  @CsvSource({"90, ON_TIME", "91, OVERDUE", "190, OVERDUE", "191, ABANDONED"})
  void machineIsOverdueOnceOneProvisionedLaterIsUp(
      long bootingSeconds, BootTimeEstimator.BootStatus bootStatus) {
    // Given a machine of the type that was provisioned later, and is up
    estimator.onUp(TYPE_ID, at(1), Optional.empty());
    // Then one that was provisioned before is abandoned earlier
    assertEquals(
        bootStatus,
        estimator.bootStatus(TYPE, START, at(bootingSeconds)),
        "booting for " + bootingSeconds + " s");
  }
}
