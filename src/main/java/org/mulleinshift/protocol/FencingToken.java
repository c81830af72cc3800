package org.mulleinshift.protocol;

/**
 * Decides whose commands a worker obeys: it ignores commands whose token is lower than the highest
 * that it has seen.
 */
public record FencingToken(long value) implements NumericId<FencingToken> {
  @Override
  public String toString() {
    return Long.toString(value);
  }
}
