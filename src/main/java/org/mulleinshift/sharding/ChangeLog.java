package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which entries of a set have changed since a version that the other side acknowledged. What was
 * acknowledged is dropped, so the log is as long as what is in flight, not as the set.
 *
 * @param <K> names an entry
 */
final class ChangeLog<K> {
  private final Map<K, Long> changedAt = new LinkedHashMap<>();
  private long newest;

  /** The entry changes with this version. Versions must not fall: entries stay in their order. */
  void changed(K key, long version) {
    changedAt.remove(key);
    changedAt.put(key, version);
    newest = version;
  }

  /** The entries that changed after this version, in the order of their last change. */
  List<K> since(long version) {
    List<K> keys = new ArrayList<>();
    changedAt.forEach(
        (key, at) -> {
          if (at > version) {
            keys.add(key);
          }
        });
    return keys;
  }

  /** Whether any entry changed after this version. */
  boolean anySince(long version) {
    return newest > version;
  }

  /** The other side has everything up to this version. */
  void acknowledged(long version) {
    Iterator<Long> versions = changedAt.values().iterator();
    while (versions.hasNext() && versions.next() <= version) {
      versions.remove();
    }
  }

  /** Forgets all changes. */
  void clear() {
    changedAt.clear();
    newest = 0;
  }
}
