package org.mulleinshift.protocol;

/** The name of a shard: a set of machines in one zone that has at most one owner at a time. */
public record ShardId(String value) implements TextId<ShardId> {
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
