package org.mulleinshift.protocol;

/** Identifies who may command a machine: a worker obeys only the highest token that it has seen. */
public record FencingToken(long value) implements NumericId<FencingToken> {
  @Override
  public String toString() {
    return Long.toString(value);
  }
}
