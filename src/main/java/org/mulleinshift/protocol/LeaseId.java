package org.mulleinshift.protocol;

/** The id of a lease in the key-value store. */
public record LeaseId(long value) implements NumericId<LeaseId> {
  @Override
  public String toString() {
    return Long.toString(value);
  }
}
