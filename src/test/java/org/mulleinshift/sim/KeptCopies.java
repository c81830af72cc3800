package org.mulleinshift.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Copies of workers' reports that are kept until the next leader begins; then all nodes get them.
 */
final class KeptCopies {
  private static final int MAX_OF_ONE = 4;
  private static final double SPREAD = 0.8;

  private final World world;
  private final List<SimNode> nodes;
  private final Map<String, Deque<String>> kept = new LinkedHashMap<>();
  private double until;

  KeptCopies(World world, List<SimNode> nodes) {
    this.world = world;
    this.nodes = nodes;
  }

  void during(double seconds) {
    until = world.seconds() + seconds;
  }

  /** A report that a worker sends; some are kept, the first ones for longest. */
  void report(String machine, String body) {
    if (world.seconds() < until && world.random() < 0.3) {
      Deque<String> copies = kept.computeIfAbsent(machine, name -> new ArrayDeque<>());
      if (copies.size() == MAX_OF_ONE) {
        copies.removeLast();
      }
      copies.addLast(body);
    }
  }

  /** A leader begins. */
  void release() {
    kept.values().forEach(copies -> copies.forEach(this::giveToAll));
    kept.clear();
  }

  private void giveToAll(String body) {
    for (SimNode node : nodes) {
      world.after(
          SPREAD * world.random(),
          () -> {
            if (node.alive()) {
              node.request("POST", "/checkin", body, answer -> {});
            }
          });
    }
  }
}
