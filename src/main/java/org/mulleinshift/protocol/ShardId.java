package org.mulleinshift.protocol;

/** A shard of machines in one zone. */
public record ShardId(String value) implements Comparable<ShardId> {
  @Override
  public int compareTo(ShardId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ShardId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
