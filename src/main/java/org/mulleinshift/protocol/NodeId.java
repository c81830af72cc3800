package org.mulleinshift.protocol;

/** A controller's label. */
public record NodeId(String value) implements Comparable<NodeId> {
  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
