package org.mulleinshift.protocol;

/** A block of machines in one zone. */
public record BlockId(String value) implements Comparable<BlockId> {
  @Override
  public int compareTo(BlockId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof BlockId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
