package org.mulleinshift.model;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A range of a job's tasks whose progress is stored under one key: a whole chunk, or a part of it
 * that results from halving it repeatedly until the stored value is short enough. The progress of a
 * part takes precedence over that of the chunk it was split from. A chunk's key sorts before the
 * keys of its parts.
 *
 * @param number index of the whole chunk, from 0
 * @param path the half taken at each split, 0 or 1, starting at the whole chunk; empty for the
 *     whole chunk itself
 */
public record Chunk(int number, String path) {
  /** Chosen so that stored values stay far below the store's size limit. */
  static final int TASKS_PER_CHUNK = 500;

  private static final Pattern KEY_PATTERN = Pattern.compile("([0-9]{1,6})(?:/([01]{1,9}))?");
  private static final char FIRST_HALF = '0';

  /** A range of task indexes, not limited by the number of tasks that the job has. */
  private record Range(int firstTask, int size) {
    /** Returns the first half, which is larger by one task if the size is odd. */
    Range firstHalf() {
      return new Range(firstTask, (size + 1) / 2);
    }

    Range secondHalf() {
      int firstSize = firstHalf().size();
      return new Range(firstTask + firstSize, size - firstSize);
    }
  }

  /** Returns the whole chunk with the given number. */
  public static Chunk whole(int number) {
    return new Chunk(number, "");
  }

  /** Parses the chunk part of a progress key; empty if this build does not write such keys. */
  public static Optional<Chunk> parse(String text) {
    Matcher key = KEY_PATTERN.matcher(text);
    if (!key.matches()) {
      return Optional.empty();
    }
    Chunk chunk =
        new Chunk(Integer.parseInt(key.group(1)), Optional.ofNullable(key.group(2)).orElse(""));
    return chunk.size() > 0 ? Optional.of(chunk) : Optional.empty();
  }

  /** Returns the index of the first task. */
  int firstTask() {
    return range().firstTask();
  }

  /** Returns the number of tasks; in a job's last chunk, the job may have fewer. */
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

  /** Returns the first half (0) or the second half (1). */
  Chunk half(int which) {
    return new Chunk(number, path + which);
  }

  /** Whether it has more than one task; the progress of a single task always fits into a value. */
  public boolean canSplit() {
    return size() > 1;
  }

  /** Whether the other chunk is this chunk or was split from it. */
  boolean contains(Chunk other) {
    return number == other.number && other.path.startsWith(path);
  }

  @Override
  public String toString() {
    return path.isEmpty() ? Integer.toString(number) : number + "/" + path;
  }
}
