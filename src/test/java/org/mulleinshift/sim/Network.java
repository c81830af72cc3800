package org.mulleinshift.sim;

import java.util.ArrayList;
import java.util.List;

/** Carries messages between named hosts; cuts drop them or hold them until the cut is over. */
final class Network {
  /** What becomes of messages on a cut link. */
  enum Mode {
    DROP,
    HOLD
  }

  private record Cut(String one, String other, boolean bothWays, Mode mode, List<Runnable> held) {
    boolean covers(String from, String to) {
      return (matches(one, from) && matches(other, to))
          || (bothWays && matches(one, to) && matches(other, from));
    }

    private static boolean matches(String pattern, String host) {
      return pattern.equals("*")
          || (pattern.endsWith("*")
              ? host.startsWith(pattern.substring(0, pattern.length() - 1))
              : host.equals(pattern));
    }
  }

  /** Messages between these take up to so much longer. */
  private record SlowLink(Cut link, double by) {}

  private final World world;
  private final List<Cut> cuts = new ArrayList<>();
  private final List<SlowLink> slow = new ArrayList<>();

  Network(World world) {
    this.world = world;
  }

  void cut(String one, String other, boolean bothWays, Mode mode, double seconds) {
    Cut cut = new Cut(one, other, bothWays, mode, new ArrayList<>());
    cuts.add(cut);
    world.after(
        seconds,
        () -> {
          cuts.remove(cut);
          cut.held().forEach(Runnable::run);
        });
  }

  void slow(String one, String other, double by, double seconds) {
    SlowLink link = new SlowLink(new Cut(one, other, true, Mode.HOLD, new ArrayList<>()), by);
    slow.add(link);
    world.after(seconds, () -> slow.remove(link));
  }

  void deliver(String from, String to, Runnable arrival) {
    for (Cut cut : cuts) {
      if (cut.covers(from, to)) {
        if (cut.mode() == Mode.HOLD) {
          cut.held().add(arrival);
        }
        return;
      }
    }
    double longer = 0;
    for (SlowLink link : slow) {
      longer += link.link().covers(from, to) ? link.by() * world.random() : 0;
    }
    world.after(0.001 + 0.002 * world.random() + longer, arrival);
  }
}
