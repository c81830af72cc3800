package org.mulleinshift.simulation;

import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Delivers messages between named hosts after a random delay. Links can be cut in one or both
 * directions, or slowed. The hosts of a faulty link are patterns: a trailing star matches any text.
 */
public final class SimulatedNetwork {
  private static final double MIN_DELAY_SECONDS = 0.001;
  private static final double DELAY_SPREAD_SECONDS = 0.002;

  /** What happens to messages on a cut link. */
  public enum Mode {
    /** Messages are lost. */
    DROP,
    /** Messages are delivered when the cut ends. */
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

  /** Adds up to {@code maxSeconds} to the delay of messages in both directions. */
  private record SlowLink(Link link, double maxSeconds) {
    boolean covers(String sender, String receiver) {
      return link.covers(sender, receiver) || link.reversed().covers(sender, receiver);
    }
  }

  private final Timeline timeline;
  private final List<Cut> cuts = new ArrayList<>();
  private final List<SlowLink> slowLinks = new ArrayList<>();

  /** Creates a network without faults. */
  public SimulatedNetwork(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Cuts the link in its direction only, for {@code seconds}. */
  public void cutOneWay(Link link, Mode mode, double seconds) {
    cut(List.of(link), mode, seconds);
  }

  /** Cuts the link in both directions, for {@code seconds}. */
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

  /**
   * For {@code seconds}, adds a random delay of up to {@code maxSeconds} to messages in both
   * directions.
   */
  public void slow(Link link, double maxSeconds, double seconds) {
    SlowLink slowLink = new SlowLink(link, maxSeconds);
    slowLinks.add(slowLink);
    timeline.after(seconds, () -> slowLinks.remove(slowLink));
  }

  /** Runs {@code arrival} when the message reaches its receiver; never if it is lost. */
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
