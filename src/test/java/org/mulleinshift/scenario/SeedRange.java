package org.mulleinshift.scenario;

import java.util.stream.LongStream;

/**
 * A range of seeds, both ends included.
 *
 * @param first the lowest seed
 * @param last the highest seed
 */
record SeedRange(long first, long last) {
  /** Parses a range such as {@code 1-200}, or a single seed. */
  static SeedRange parse(String text) {
    String[] ends = text.split("-", 0);
    return new SeedRange(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
  }

  LongStream stream() {
    return LongStream.rangeClosed(first, last);
  }
}
