package org.mulleinshift.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates a cluster of equal slots of which about one in twenty becomes free in each step. Free
 * slots go to claims first and then by rank; the first entity ranks highest and starts with as many
 * slots as it can use.
 */
final class SlotSimulation {
  private static final int SLOTS = 200;
  private static final int STEPS = 300;
  private static final int WINDOW_STEPS = 60;

  /** A task ends in each step with a probability of 1 in this number. */
  private static final int MEAN_TASK_STEPS = 20;

  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final Random random;
  private final double minimumShare;
  private final List<ShareEntity> initialEntities;
  private final int[] usedSlots;
  private final double[][] shareByStep;

  SlotSimulation(int seed, double minimumShare) {
    this.random = new Random(seed);
    this.minimumShare = minimumShare;
    this.initialEntities = RandomEntities.draw(random);
    this.usedSlots = new int[initialEntities.size()];
    this.shareByStep = new double[STEPS][initialEntities.size()];
    usedSlots[0] = Math.min(SLOTS, maxSlots(0));
  }

  void run() {
    for (int step = 0; step < STEPS; step++) {
      // Claims are computed from the use before this step, as a leader does.
      Map<String, Double> claims = ShareClaims.of(entities(), minimumShare).claims();
      endTasks();
      assignClaims(claims);
      assignByRank();
      for (int i = 0; i < usedSlots.length; i++) {
        shareByStep[step][i] = usedSlots[i] / (double) SLOTS;
      }
    }
  }

  /**
   * Counts the windows, per entity and without those of the start, in which an entity's mean share
   * was below half of its fair share.
   */
  int starvedWindows() {
    MaxMinFairShare fair = MaxMinFairShare.of(entities());
    int starved = 0;
    for (int i = 0; i < initialEntities.size(); i++) {
      double fairShare = fair.shareOf(initialEntities.get(i).name());
      for (int from = WINDOW_STEPS; from + WINDOW_STEPS <= STEPS; from++) {
        // Tolerates one slot, the smallest amount that can be assigned.
        starved += meanShare(i, from) + 1.0 / SLOTS < 0.5 * fairShare ? 1 : 0;
      }
    }
    return starved;
  }

  private double meanShare(int entity, int fromStep) {
    double sum = 0;
    for (int step = fromStep; step < fromStep + WINDOW_STEPS; step++) {
      sum += shareByStep[step][entity];
    }
    return sum / WINDOW_STEPS;
  }

  private void endTasks() {
    for (int i = 0; i < usedSlots.length; i++) {
      for (int slot = usedSlots[i]; slot > 0; slot--) {
        usedSlots[i] -= random.nextInt(MEAN_TASK_STEPS) == 0 ? 1 : 0;
      }
    }
  }

  private void assignClaims(Map<String, Double> claims) {
    for (int i = 0; i < usedSlots.length; i++) {
      double claim = claims.getOrDefault(initialEntities.get(i).name(), 0.0);
      int claimedSlots = (int) Math.ceil(claim * SLOTS - ROUNDING_TOLERANCE);
      assign(i, Math.min(maxSlots(i) - usedSlots[i], claimedSlots));
    }
  }

  private void assignByRank() {
    for (int i = 0; i < usedSlots.length; i++) {
      assign(i, maxSlots(i) - usedSlots[i]);
    }
  }

  private void assign(int entity, int slots) {
    usedSlots[entity] += Math.min(freeSlots(), slots);
  }

  private int freeSlots() {
    int free = SLOTS;
    for (int used : usedSlots) {
      free -= used;
    }
    return free;
  }

  private int maxSlots(int entity) {
    return (int) (SLOTS * initialEntities.get(entity).reachableDemand());
  }

  /** The entities with their current use. */
  private List<ShareEntity> entities() {
    List<ShareEntity> entities = new ArrayList<>();
    for (int i = 0; i < usedSlots.length; i++) {
      ShareEntity entity = initialEntities.get(i);
      double inUse = usedSlots[i] / (double) SLOTS;
      entities.add(
          new ShareEntity(
              entity.name(),
              entity.weight(),
              inUse,
              Math.max(inUse, entity.demand()),
              entity.reachable()));
    }
    return entities;
  }
}
