package org.mulleinshift.protocol;

/** A revision of the key-value store; 0 stands for a key that does not exist. */
public record Revision(long value) implements NumericId<Revision> {
  @Override
  public String toString() {
    return Long.toString(value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Revision number && number.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
