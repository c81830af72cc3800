package org.mulleinshift.protocol;

/** A team. */
public record TeamId(String value) implements Comparable<TeamId> {
  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
