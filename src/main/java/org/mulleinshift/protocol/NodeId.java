package org.mulleinshift.protocol;

/** The name of a controller node. */
public record NodeId(String value) implements TextId<NodeId> {
  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof NodeId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
