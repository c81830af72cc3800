package org.mulleinshift.simulation;

import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Carries messages between named hosts with a random delay. Links may be cut in one direction or
 * both, or slowed. A host's name in a fault is a pattern: a star at its end stands for any text.
 */
public final class SimulatedNetwork {
  private static final double MIN_DELAY_SECONDS = 0.001;
  private static final double DELAY_SPREAD_SECONDS = 0.002;

  /** What becomes of messages on a cut link. */
  public enum Mode {
    /** They are lost. */
    DROP,
    /** They arrive when the cut is over. */
    HOLD
  }

  /** A link from one host to another. */
  public record Link(String from, String to) {
    private Link reversed() {
      return new Link(to, from);
    }

    private boolean covers(String sender, String receiver) {
      return matches(from, sender) && matches(to, receiver);
    }

    private static boolean matches(String pattern, String host) {
      return pattern.endsWith("*")
          ? host.startsWith(pattern.substring(0, pattern.length() - 1))
          : host.equals(pattern);
    }
  }

  private record Cut(List<Link> links, Mode mode, List<Runnable> held) {
    boolean covers(String sender, String receiver) {
      return links.stream().anyMatch(link -> link.covers(sender, receiver));
    }
  }

  /** Messages between the hosts take up to so much longer. */
  private record SlowLink(Link link, double maxSeconds) {
    boolean covers(String sender, String receiver) {
      return link.covers(sender, receiver) || link.reversed().covers(sender, receiver);
    }
  }

  private final Timeline timeline;
  private final List<Cut> cuts = new ArrayList<>();
  private final List<SlowLink> slowLinks = new ArrayList<>();

  /** A network without faults. */
  public SimulatedNetwork(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Cuts the link in its direction only. */
  public void cutOneWay(Link link, Mode mode, double seconds) {
    cut(List.of(link), mode, seconds);
  }

  /** Cuts the link in both directions. */
  public void cutBothWays(Link link, Mode mode, double seconds) {
    cut(List.of(link, link.reversed()), mode, seconds);
  }

  private void cut(List<Link> links, Mode mode, double seconds) {
    Cut cut = new Cut(links, mode, new ArrayList<>());
    cuts.add(cut);
    timeline.after(
        seconds,
        () -> {
          cuts.remove(cut);
          cut.held().forEach(Runnable::run);
        });
  }

  /** Messages in both directions take up to so much longer for a while. */
  public void slow(Link link, double maxSeconds, double seconds) {
    SlowLink slowLink = new SlowLink(link, maxSeconds);
    slowLinks.add(slowLink);
    timeline.after(seconds, () -> slowLinks.remove(slowLink));
  }

  /** Runs the arrival of a message when the message reaches its receiver, if it does. */
  public void deliver(String sender, String receiver, Runnable arrival) {
    for (Cut cut : cuts) {
      if (cut.covers(sender, receiver)) {
        if (cut.mode() == Mode.HOLD) {
          cut.held().add(arrival);
        }
        return;
      }
    }
    double extra = 0;
    for (SlowLink link : slowLinks) {
      extra += link.covers(sender, receiver) ? link.maxSeconds() * timeline.random() : 0;
    }
    double delay = MIN_DELAY_SECONDS + DELAY_SPREAD_SECONDS * timeline.random();
    timeline.after(delay + extra, arrival);
  }
}
