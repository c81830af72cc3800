package org.mulleinshift.model;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tasks of a job whose progress shares a key: a whole chunk, or a part of one that was halved, and
 * halved again, until its value was short enough. The progress of a part takes precedence over that
 * of the chunk it was split from; in the order of keys the larger chunk comes first.
 *
 * @param number of the whole chunk, from 0
 * @param path which half at each step, from the whole chunk on; empty for the whole chunk itself
 */
public record Chunk(int number, String path) {
  /** Tasks of a whole chunk; keeps values far below the store's limit. */
  static final int TASKS_PER_CHUNK = 500;

  private static final Pattern KEY_PATTERN = Pattern.compile("([0-9]{1,6})(?:/([01]{1,9}))?");
  private static final char FIRST_HALF = '0';

  /** A range of tasks of a job that has them all. */
  private record Range(int firstTask, int size) {
    /** The first half is larger by one if the size is odd. */
    Range firstHalf() {
      return new Range(firstTask, (size + 1) / 2);
    }

    Range secondHalf() {
      int firstSize = firstHalf().size();
      return new Range(firstTask + firstSize, size - firstSize);
    }
  }

  /** The whole chunk with that number. */
  public static Chunk whole(int number) {
    return new Chunk(number, "");
  }

  /** Parses the last part of a chunk's key; empty if this build does not write such keys. */
  public static Optional<Chunk> parse(String text) {
    Matcher key = KEY_PATTERN.matcher(text);
    if (!key.matches()) {
      return Optional.empty();
    }
    Chunk chunk =
        new Chunk(Integer.parseInt(key.group(1)), Optional.ofNullable(key.group(2)).orElse(""));
    return chunk.size() > 0 ? Optional.of(chunk) : Optional.empty();
  }

  /** The first task. */
  int firstTask() {
    return range().firstTask();
  }

  /** How many tasks, of a job that has them all. */
  int size() {
    return range().size();
  }

  private Range range() {
    Range range = new Range(number * TASKS_PER_CHUNK, TASKS_PER_CHUNK);
    for (int i = 0; i < path.length(); i++) {
      range = path.charAt(i) == FIRST_HALF ? range.firstHalf() : range.secondHalf();
    }
    return range;
  }

  /** The first half (0) or the second one (1). */
  Chunk half(int which) {
    return new Chunk(number, path + which);
  }

  /** A chunk of one task is short enough for every value. */
  public boolean canSplit() {
    return size() > 1;
  }

  /** Whether the other was split from this one, or is this one. */
  boolean contains(Chunk other) {
    return number == other.number && other.path.startsWith(path);
  }

  @Override
  public String toString() {
    return path.isEmpty() ? Integer.toString(number) : number + "/" + path;
  }
}
