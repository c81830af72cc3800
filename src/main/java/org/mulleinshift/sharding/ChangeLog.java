package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which entries of a versioned set have changed since the version that the receiver last
 * acknowledged. Acknowledged changes are discarded, so the size of the log depends on the number of
 * unacknowledged changes and not on the size of the set.
 *
 * @param <K> the key of an entry
 */
final class ChangeLog<K> {
  private final Map<K, Long> versionByKey = new LinkedHashMap<>();
  private long newestVersion;

  /**
   * Records that the entry changes with this version. Versions must not decrease, which keeps the
   * log ordered by version.
   */
  void recordChange(K key, long version) {
    versionByKey.remove(key);
    versionByKey.put(key, version);
    newestVersion = version;
  }

  /** Returns the entries that changed after this version, in the order of their last change. */
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

  /** Returns whether any entry changed after this version. */
  boolean hasChangesSince(long version) {
    return newestVersion > version;
  }

  /** Discards changes up to this version, which the receiver has acknowledged. */
  void discardAcknowledged(long version) {
    Iterator<Long> versions = versionByKey.values().iterator();
    while (versions.hasNext() && versions.next() <= version) {
      versions.remove();
    }
  }

  /** Discards all changes. */
  void clear() {
    versionByKey.clear();
    newestVersion = 0;
  }
}
