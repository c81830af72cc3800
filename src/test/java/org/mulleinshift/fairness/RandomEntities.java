package org.mulleinshift.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/** Generates random sets of entities, the same for the same seed. */
final class RandomEntities {
  static final int SEEDS = 200;

  private static final int MIN_ENTITIES = 2;
  private static final int ENTITY_COUNTS = 4;
  private static final int WEIGHTS = 4;
  private static final double MAX_DEMAND = 1.5;
  private static final double MIN_REACHABLE = 0.2;
  private static final double REACHABLE_RANGE = 0.8;

  private RandomEntities() {}

  /** The seeds that the tests run with. */
  static IntStream seeds() {
    return IntStream.range(0, SEEDS);
  }

  /** Generates two to five entities that use nothing yet. */
  static List<ShareEntity> draw(Random random) {
    List<ShareEntity> entities = new ArrayList<>();
    int count = MIN_ENTITIES + random.nextInt(ENTITY_COUNTS);
    for (int i = 0; i < count; i++) {
      double demand = random.nextDouble() * MAX_DEMAND;
      entities.add(
          new ShareEntity(
              "p" + i,
              1 << random.nextInt(WEIGHTS),
              0,
              demand,
              MIN_REACHABLE + REACHABLE_RANGE * random.nextDouble()));
    }
    return entities;
  }
}
