package org.mulleinshift.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The claims of entities on available capacity, and that they prevent starvation. */
final class ShareClaimsTest {
  private static final double MINIMUM_SHARE = 0.75;
  private static final double NO_MINIMUM_SHARE = 0;
  private static final double TOLERANCE = 1e-9;

  static IntStream seeds() {
    return RandomEntities.seeds();
  }

  @Test
  void noClaimsWhileNoEntityExceedsItsFairShare() {
    List<ShareEntity> even =
        List.of(new ShareEntity("a", 2, 0.6, 1, 1), new ShareEntity("b", 1, 0.1, 1, 1));

    assertEquals(Map.of(), ShareClaims.of(even, MINIMUM_SHARE).claims(), "claims");
  }

  @Test
  void entityBelowItsMinimumShareClaimsTheDifference() {
    List<ShareEntity> uneven =
        List.of(new ShareEntity("a", 2, 0.9, 1, 1), new ShareEntity("b", 1, 0.1, 1, 1));

    double claim = ShareClaims.of(uneven, MINIMUM_SHARE).claims().get("b");

    assertEquals(MINIMUM_SHARE / 3 - 0.1, claim, TOLERANCE, "minimum share less what is in use");
  }

  @Test
  void noClaimsWithoutMinimumShares() {
    List<ShareEntity> uneven =
        List.of(new ShareEntity("a", 2, 0.9, 1, 1), new ShareEntity("b", 1, 0.1, 1, 1));

    assertEquals(Map.of(), ShareClaims.of(uneven, NO_MINIMUM_SHARE).claims(), "claims");
  }

  @Test
  void entityClaimsNoMoreThanItsWaitingTasksRequest() {
    List<ShareEntity> littleWaiting =
        List.of(new ShareEntity("a", 2, 0.9, 1, 1), new ShareEntity("b", 1, 0.1, 0.12, 1));

    double claim = ShareClaims.of(littleWaiting, MINIMUM_SHARE).claims().get("b");

    assertEquals(0.02, claim, TOLERANCE, "demand less what is in use");
  }

  /** In no window does an entity's mean share fall below half of its fair share. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noEntityStarvesInAnyWindow(int seed) {
    SlotSimulation simulation = new SlotSimulation(seed, MINIMUM_SHARE);

    simulation.run();

    assertEquals(0, simulation.starvedWindows(), "windows with starvation");
  }

  /** Without claims most seeds show starvation, so the simulation is able to detect it. */
  @Test
  void mostMixesHaveStarvationWithoutMinimumShares() {
    long starvedMixes = seeds().filter(ShareClaimsTest::starvesWithoutMinimumShares).count();

    assertTrue(starvedMixes > RandomEntities.SEEDS / 2, "starved mixes: " + starvedMixes);
  }

  private static boolean starvesWithoutMinimumShares(int seed) {
    SlotSimulation simulation = new SlotSimulation(seed, NO_MINIMUM_SHARE);
    simulation.run();
    return simulation.starvedWindows() > 0;
  }
}
