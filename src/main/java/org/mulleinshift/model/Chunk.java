package org.mulleinshift.model;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tasks of a job whose progress shares a key: a chunk, or a part of one that was halved, and halved
 * again, until its value was short enough. What a part holds goes before what the part that it was
 * cut from holds; in the order of keys the larger part comes first.
 *
 * @param path which half at each step, from the chunk on; empty for the chunk itself
 */
public record Chunk(int number, String path) {
  private static final Pattern KEY = Pattern.compile("([0-9]{1,6})(?:/([01]{1,9}))?");

  public static Chunk whole(int number) {
    return new Chunk(number, "");
  }

  /** By the rest of its key; none if that is not a key of this build. */
  public static Optional<Chunk> parse(String text) {
    Matcher key = KEY.matcher(text);
    if (!key.matches()) {
      return Optional.empty();
    }
    Chunk part =
        new Chunk(Integer.parseInt(key.group(1)), Optional.ofNullable(key.group(2)).orElse(""));
    return part.size() > 0 ? Optional.of(part) : Optional.empty();
  }

  /** The first task. */
  int firstTask() {
    return bounds()[0];
  }

  /** How many tasks, of a job that has them all. */
  int size() {
    return bounds()[1];
  }

  private int[] bounds() {
    int from = number * Job.CHUNK;
    int size = Job.CHUNK;
    for (int i = 0; i < path.length(); i++) {
      int half = (size + 1) / 2;
      from += path.charAt(i) == '0' ? 0 : half;
      size = path.charAt(i) == '0' ? half : size - half;
    }
    return new int[] {from, size};
  }

  Chunk half(int which) {
    return new Chunk(number, path + which);
  }

  /** A part of one task is short enough for every value. */
  public boolean canSplit() {
    return size() > 1;
  }

  /** Whether the other was cut from this one, or is this one. */
  boolean contains(Chunk other) {
    return number == other.number && other.path.startsWith(path);
  }

  @Override
  public String toString() {
    return path.isEmpty() ? Integer.toString(number) : number + "/" + path;
  }
}
