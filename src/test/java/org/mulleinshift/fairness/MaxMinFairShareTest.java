package org.mulleinshift.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Max-min fairness of the shares of random entities. */
final class MaxMinFairShareTest {
  private static final double TOLERANCE = 1e-9;

  static IntStream seeds() {
    return RandomEntities.seeds();
  }

  /** No entity gets more than its demand; one that gets less has the highest share by weight. */
  @ParameterizedTest
  @MethodSource("seeds")
  void sharesAreMaxMinFair(int seed) {
    // Given entities with random weights and demands.
    List<ShareEntity> entities = RandomEntities.draw(new Random(seed));

    // When they share one cluster.
    MaxMinFairShare fair = MaxMinFairShare.of(entities);

    // Then no entity's share can grow without taking from one with no more by weight.
    for (ShareEntity entity : entities) {
      double share = fair.shareOf(entity.name());
      assertTrue(share <= entity.reachableDemand() + TOLERANCE, "more than its demand: " + entity);
      boolean wantsMore = share < entity.reachableDemand() - TOLERANCE;
      for (ShareEntity other : entities) {
        double shareOfOther = fair.shareOf(other.name()) / other.weight();
        assertTrue(
            !wantsMore || shareOfOther <= share / entity.weight() + TOLERANCE,
            other + " has more by weight than " + entity);
      }
    }
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void sharesSumToDemandUpToTheWholeCluster(int seed) {
    List<ShareEntity> entities = RandomEntities.draw(new Random(seed));

    MaxMinFairShare fair = MaxMinFairShare.of(entities);

    double wanted = entities.stream().mapToDouble(ShareEntity::reachableDemand).sum();
    double shared = entities.stream().mapToDouble(entity -> fair.shareOf(entity.name())).sum();
    assertEquals(Math.min(1, wanted), shared, TOLERANCE, "sum of the fair shares");
  }
}
