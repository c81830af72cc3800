package org.mulleinshift.protocol;

/**
 * A numeric id with a type of its own, so that the compiler rejects an id of another kind. Records
 * that are often compared define {@code equals} and {@code hashCode} explicitly, for the reason
 * given at {@link TextId}.
 *
 * @param <T> the implementing record
 */
public interface NumericId<T extends NumericId<T>> extends Comparable<T> {
  /** The number as written in messages and in the store. */
  long value();

  @Override
  default int compareTo(T other) {
    return Long.compare(value(), other.value());
  }
}
