package org.mulleinshift.protocol;

/**
 * A text id with a type of its own, so that the compiler rejects an id of another kind.
 *
 * <p>The records define {@code equals} and {@code hashCode} explicitly, with the same results as
 * the generated methods: the ids are keys of large maps, and the generated methods use method
 * handles, which are slower in the scheduling cycle.
 *
 * @param <T> the implementing record
 */
public interface TextId<T extends TextId<T>> extends Comparable<T> {
  /** The id as written in messages and in the store. */
  String value();

  @Override
  default int compareTo(T other) {
    return value().compareTo(other.value());
  }
}
