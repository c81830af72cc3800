package org.mulleinshift.protocol;

/** The number of an attempt to run a task; later attempts have larger numbers. */
public record Attempt(long value) implements NumericId<Attempt> {
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
