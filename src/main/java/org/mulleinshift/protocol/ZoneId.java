package org.mulleinshift.protocol;

/** A zone. */
public record ZoneId(String value) implements Comparable<ZoneId> {
  @Override
  public int compareTo(ZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
