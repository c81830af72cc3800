package org.mulleinshift.memory;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A map of bounded size; when it is full, a new entry evicts the one that was inserted first.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int maxSize;

  /** Creates an empty map that keeps at most {@code maxSize} entries. */
  public BoundedMap(int maxSize) {
    this.maxSize = maxSize;
  }

  /** Returns an empty set of at most {@code maxSize} elements, with the same eviction. */
  public static <T> Set<T> set(int maxSize) {
    return Collections.newSetFromMap(new BoundedMap<>(maxSize));
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxSize;
  }
}
