package org.mulleinshift.protocol;

/** A lease at the state service. */
public record HoldId(long value) implements Comparable<HoldId> {
  @Override
  public int compareTo(HoldId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof HoldId number && number.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
