package org.mulleinshift.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Fair parts and claims over drawn mixes of parties, with fixed seeds. */
class MinimumSharesTest {
  private static final int SEEDS = 200;
  private static final int SLOTS = 200;
  private static final int STEPS = 300;
  private static final int WINDOW = 60;
  private static final double SHARE = 0.75;

  /** Max-min: nobody gets more than it wants, and who gets less has as much a weight as any. */
  @Test
  void fairPartsAreMaxMin() {
    for (int seed = 0; seed < SEEDS; seed++) {
      List<ShareEntity> parties = drawn(new Random(seed));
      MaxMinFairShare fair = MaxMinFairShare.of(parties);
      double sum = 0;
      for (ShareEntity party : parties) {
        double part = fair.of(party.name());
        sum += part;
        assertTrue(part <= party.wanted() + 1e-9, "seed " + seed + ": " + party);
        for (ShareEntity other : parties) {
          boolean shorted = part < party.wanted() - 1e-9;
          assertTrue(
              !shorted || fair.of(other.name()) / other.weight() <= part / party.weight() + 1e-9,
              "seed " + seed + ": " + other + " beside " + party);
        }
      }
      double wanted = parties.stream().mapToDouble(ShareEntity::wanted).sum();
      assertEquals(Math.min(1, wanted), sum, 1e-9, "seed " + seed);
    }
  }

  @Test
  void nobodyClaimsWhileNobodyHasTooMuch() {
    List<ShareEntity> even =
        List.of(new ShareEntity("a", 2, 0.6, 1, 1), new ShareEntity("b", 1, 0.1, 1, 1));
    assertEquals(Map.of(), ShareClaims.of(even, SHARE).claims());
    List<ShareEntity> uneven =
        List.of(new ShareEntity("a", 2, 0.9, 1, 1), new ShareEntity("b", 1, 0.1, 1, 1));
    assertEquals(SHARE / 3 - 0.1, ShareClaims.of(uneven, SHARE).claims().get("b"), 1e-9);
    assertEquals(Map.of(), ShareClaims.of(uneven, 0).claims());
    // What little waits is all that is claimed.
    List<ShareEntity> little =
        List.of(new ShareEntity("a", 2, 0.9, 1, 1), new ShareEntity("b", 1, 0.1, 0.12, 1));
    assertEquals(0.02, ShareClaims.of(little, SHARE).claims().get("b"), 1e-9);
  }

  /** In no window does a party with work waiting have less than half of its fair part. */
  @Test
  void nobodyStarvesInAnyWindow() {
    int starvedWithout = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      assertEquals(0, starved(seed, SHARE), "seed " + seed);
      starvedWithout += starved(seed, 0) > 0 ? 1 : 0;
    }
    // The same mixes by rank alone: the test would see it.
    assertTrue(starvedWithout > SEEDS / 2, "starved without floors: " + starvedWithout);
  }

  private static List<ShareEntity> drawn(Random random) {
    List<ShareEntity> parties = new ArrayList<>();
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      double demand = random.nextDouble() * 1.5;
      parties.add(
          new ShareEntity(
              "p" + i, 1 << random.nextInt(4), 0, demand, 0.2 + 0.8 * random.nextDouble()));
    }
    return parties;
  }

  /**
   * A fleet of equal slots of which a twentieth frees in each step; the first party of the list is
   * the most urgent. Tells in how many windows a party had too little, once the start is over.
   */
  private static int starved(int seed, double share) {
    Random random = new Random(seed);
    List<ShareEntity> drawn = drawn(random);
    int count = drawn.size();
    int[] used = new int[count];
    double[][] had = new double[STEPS][count];
    // All is the first one's when the others come.
    used[0] = (int) (SLOTS * drawn.get(0).wanted() > SLOTS ? SLOTS : SLOTS * drawn.get(0).wanted());
    List<ShareEntity> now = parties(drawn, used);
    for (int step = 0; step < STEPS; step++) {
      for (int i = 0; i < count; i++) {
        for (int slot = used[i]; slot > 0; slot--) {
          used[i] -= random.nextInt(20) == 0 ? 1 : 0;
        }
      }
      int free = SLOTS;
      for (int use : used) {
        free -= use;
      }
      Map<String, Double> claims = ShareClaims.of(now, share).claims();
      for (int i = 0; i < count; i++) {
        double claim = claims.getOrDefault(drawn.get(i).name(), 0.0);
        int given = Math.min(free, Math.min(most(drawn.get(i)) - used[i], ceil(claim)));
        used[i] += given;
        free -= given;
      }
      for (int i = 0; i < count; i++) {
        int given = Math.min(free, most(drawn.get(i)) - used[i]);
        used[i] += given;
        free -= given;
      }
      now = parties(drawn, used);
      for (int i = 0; i < count; i++) {
        had[step][i] = used[i] / (double) SLOTS;
      }
    }
    MaxMinFairShare fair = MaxMinFairShare.of(now);
    int starved = 0;
    for (int i = 0; i < count; i++) {
      for (int from = WINDOW; from + WINDOW <= STEPS; from++) {
        double sum = 0;
        for (int step = from; step < from + WINDOW; step++) {
          sum += had[step][i];
        }
        // One slot is the least that can be given.
        starved += sum / WINDOW + 1.0 / SLOTS < 0.5 * fair.of(drawn.get(i).name()) ? 1 : 0;
      }
    }
    return starved;
  }

  private static int ceil(double share) {
    return (int) Math.ceil(share * SLOTS - 1e-6);
  }

  private static int most(ShareEntity party) {
    return (int) (SLOTS * party.wanted());
  }

  private static List<ShareEntity> parties(List<ShareEntity> drawn, int[] used) {
    List<ShareEntity> parties = new ArrayList<>();
    for (int i = 0; i < used.length; i++) {
      ShareEntity party = drawn.get(i);
      double use = used[i] / (double) SLOTS;
      parties.add(
          new ShareEntity(
              party.name(), party.weight(), use, Math.max(use, party.demand()), party.reachable()));
    }
    return parties;
  }
}
