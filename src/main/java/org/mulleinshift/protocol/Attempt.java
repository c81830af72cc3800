package org.mulleinshift.protocol;

/** Numbers the tries of a task; a later try has a larger number. */
public record Attempt(long value) implements Comparable<Attempt> {
  @Override
  public int compareTo(Attempt other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Attempt number && number.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
