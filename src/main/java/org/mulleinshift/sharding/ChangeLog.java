package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which entries of a set have changed since a version that the other side confirmed. What was
 * confirmed is dropped, so the log is as long as what is under way, not as the set.
 */
final class ChangeLog<K> {
  private final Map<K, Long> changedAt = new LinkedHashMap<>();
  private long newest;

  /** Versions must not fall: entries stay in their order. */
  void changed(K key, long version) {
    changedAt.remove(key);
    changedAt.put(key, version);
    newest = version;
  }

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

  boolean anySince(long version) {
    return newest > version;
  }

  void confirmed(long version) {
    Iterator<Long> versions = changedAt.values().iterator();
    while (versions.hasNext() && versions.next() <= version) {
      versions.remove();
    }
  }

  void clear() {
    changedAt.clear();
    newest = 0;
  }
}
