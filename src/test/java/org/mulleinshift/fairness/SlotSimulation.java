package org.mulleinshift.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A cluster of equal slots of which about a twentieth becomes free in each step; the first entity
 * is the most urgent. All slots are the first entity's when the others arrive.
 */
final class SlotSimulation {
  private static final int SLOTS = 200;
  private static final int STEPS = 300;
  private static final int WINDOW_STEPS = 60;

  /** A task ends in a step with a probability of one to this. */
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
      // Claims follow from what was in use before this step, as a leader sees it.
      Map<String, Double> claims = ShareClaims.of(entities(), minimumShare).claims();
      endTasks();
      assignClaims(claims);
      assignByRank();
      for (int i = 0; i < usedSlots.length; i++) {
        shareByStep[step][i] = usedSlots[i] / (double) SLOTS;
      }
    }
  }

  /** In how many windows an entity had less than half of its fair share, once the start is over. */
  int starvedWindows() {
    MaxMinFairShare fair = MaxMinFairShare.of(entities());
    int starved = 0;
    for (int i = 0; i < initialEntities.size(); i++) {
      double fairShare = fair.shareOf(initialEntities.get(i).name());
      for (int from = WINDOW_STEPS; from + WINDOW_STEPS <= STEPS; from++) {
        // One slot is the minimum that can be assigned.
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

  /** The entities with what they use now. */
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
