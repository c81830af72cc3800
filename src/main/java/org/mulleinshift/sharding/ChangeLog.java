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
  private final Map<K, Long> versionByKey = new LinkedHashMap<>();
  private long newestVersion;

  /** The entry changes with this version. Versions must not fall: entries stay in their order. */
  void recordChange(K key, long version) {
    versionByKey.remove(key);
    versionByKey.put(key, version);
    newestVersion = version;
  }

  /** The entries that changed after this version, in the order of their last change. */
  List<K> changedSince(long version) {
    List<K> keys = new ArrayList<>();
    versionByKey.forEach(
        (key, changeVersion) -> {
          if (changeVersion > version) {
            keys.add(key);
          }
        });
    return keys;
  }

  /** Whether any entry changed after this version. */
  boolean hasChangesSince(long version) {
    return newestVersion > version;
  }

  /** The other side has everything up to this version. */
  void discardAcknowledged(long version) {
    Iterator<Long> versions = versionByKey.values().iterator();
    while (versions.hasNext() && versions.next() <= version) {
      versions.remove();
    }
  }

  /** Forgets all changes. */
  void clear() {
    versionByKey.clear();
    newestVersion = 0;
  }
}
