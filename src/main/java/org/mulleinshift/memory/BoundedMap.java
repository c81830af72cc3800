package org.mulleinshift.memory;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Remembers so many entries; one more pushes out the one that came first. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int most;

  public BoundedMap(int most) {
    this.most = most;
  }

  /** A set that remembers so many elements. */
  public static <T> Set<T> set(int most) {
    return Collections.newSetFromMap(new BoundedMap<>(most));
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > most;
  }
}
