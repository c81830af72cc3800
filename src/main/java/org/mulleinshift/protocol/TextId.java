package org.mulleinshift.protocol;

/**
 * An id that is a text, as a type of its own, so that ids of different things can't be mixed up.
 *
 * <p>The records write out {@code equals} and {@code hashCode}, with the results that a record has
 * by itself: they are keys of large maps, and a record's own methods go through method handles,
 * which costs more in the scheduling cycle.
 *
 * @param <T> the record itself
 */
public interface TextId<T extends TextId<T>> extends Comparable<T> {
  /** The id as it stands in messages and in the store. */
  String value();

  @Override
  default int compareTo(T other) {
    return value().compareTo(other.value());
  }
}
