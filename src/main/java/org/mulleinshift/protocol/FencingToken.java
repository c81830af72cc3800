package org.mulleinshift.protocol;

/** Says who may command a machine; a machine obeys the highest that it has seen. */
public record FencingToken(long value) implements Comparable<FencingToken> {
  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof FencingToken number && number.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
