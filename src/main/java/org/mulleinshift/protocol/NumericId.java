package org.mulleinshift.protocol;

/**
 * An id that is a number, as a type of its own, so that numbers of different things can't be mixed
 * up. Records that are compared often write out {@code equals} and {@code hashCode} for the reason
 * given at {@link TextId}.
 *
 * @param <T> the record itself
 */
public interface NumericId<T extends NumericId<T>> extends Comparable<T> {
  /** The number as it stands in messages and in the store. */
  long value();

  @Override
  default int compareTo(T other) {
    return Long.compare(value(), other.value());
  }
}
