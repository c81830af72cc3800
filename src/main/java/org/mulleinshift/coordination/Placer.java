package org.mulleinshift.coordination;

import java.util.Collection;
import java.util.Optional;

/** Chooses a machine for a task; the leader's plans and the holders' placements share it. */
final class Placer {
  private Placer() {}

  /** Takes room for some of several equal tasks on a machine. */
  interface Taker {
    void take(Room room, int count);
  }

  /**
   * Takes room for up to so many equal tasks; tells for how many. The outcome is that of choosing
   * for each task anew: a room that was chosen only becomes a better choice, until it is full.
   */
  static int fill(PlacementNeed need, int count, Collection<Room> rooms, Taker taker) {
    int left = count;
    while (left > 0) {
      Room room = choose(need, rooms).orElse(null);
      if (room == null) {
        break;
      }
      int taken = Math.min(left, room.countOf(need));
      room.take(need, taken);
      taker.take(room, taken);
      left -= taken;
    }
    return count - left;
  }

  /** The same where it does not matter on which machines. */
  static int fill(PlacementNeed need, int count, Collection<Room> rooms) {
    return fill(need, count, rooms, (room, taken) -> {});
  }

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
