package org.mulleinshift.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time: runs events in order, with nothing but a seed behind its chances. */
class World {
  private record Event(long at, long sequence, Runnable step) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private static final long MAX_EVENTS = 3_000_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private long now;
  private long sequence;

  World(long seed) {
    random = new SplittableRandom(seed);
  }

  long nanos() {
    return now;
  }

  double seconds() {
    return now / 1e9;
  }

  double random() {
    return random.nextDouble();
  }

  void after(double seconds, Runnable step) {
    events.add(new Event(now + (long) (Math.max(0, seconds) * 1e9), sequence++, step));
  }

  void at(double seconds, Runnable step) {
    after(seconds - seconds(), step);
  }

  void runUntil(double seconds) {
    long end = (long) (seconds * 1e9);
    long count = 0;
    while (!events.isEmpty() && events.peek().at() <= end) {
      if (++count > MAX_EVENTS) {
        throw new IllegalStateException("no end of events at " + seconds());
      }
      Event event = events.poll();
      now = Math.max(now, event.at());
      event.step().run();
    }
    now = end;
  }
}
