package org.mulleinshift.coordination;

import java.util.Collection;
import java.util.Optional;

/** Chooses a machine for a task; the leader's plans and the holders' placements share it. */
final class Placer {
  private Placer() {}

  static Optional<Room> choose(PlacementNeed need, Collection<Room> rooms) {
    Room best = null;
    double bestScore = 0;
    for (Room room : rooms) {
      if (!room.takes(need)) {
        continue;
      }
      double score = room.score(need);
      if (best == null || score < bestScore) {
        best = room;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }
}
