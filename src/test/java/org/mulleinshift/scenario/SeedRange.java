package org.mulleinshift.scenario;

import java.util.stream.LongStream;

/**
 * Seeds from the first to the last.
 *
 * @param first the lowest seed
 * @param last the highest seed
 */
record SeedRange(long first, long last) {
  /** Reads {@code 1-200}, or one number for a single seed. */
  static SeedRange parse(String text) {
    String[] ends = text.split("-", 0);
    return new SeedRange(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
  }

  LongStream stream() {
    return LongStream.rangeClosed(first, last);
  }
}
