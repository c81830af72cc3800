package org.mulleinshift.protocol;

/** A lease at the state service. */
public record LeaseId(long value) implements Comparable<LeaseId> {
  @Override
  public int compareTo(LeaseId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LeaseId number && number.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
