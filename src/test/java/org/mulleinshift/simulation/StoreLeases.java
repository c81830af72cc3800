package org.mulleinshift.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.simulation.time.Timeline;

/** Leases of the simulated store. When a lease ends, the keys bound to it are deleted. */
final class StoreLeases {
  private static final class Lease {
    private final double ttlSeconds;
    private double expiresAt;

    Lease(double ttlSeconds, double expiresAt) {
      this.ttlSeconds = ttlSeconds;
      this.expiresAt = expiresAt;
    }
  }

  private final Timeline timeline;
  private final StoredKeys keys;
  private final StoreWatches watches;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long nextId = 1;

  StoreLeases(Timeline timeline, StoredKeys keys, StoreWatches watches) {
    this.timeline = timeline;
    this.keys = keys;
    this.watches = watches;
  }

  long grant(double ttlSeconds) {
    leases.put(nextId, new Lease(ttlSeconds, timeline.seconds() + ttlSeconds));
    return nextId++;
  }

  boolean exists(long id) {
    return leases.containsKey(id);
  }

  void renew(long id) {
    renew(leases.get(id));
  }

  void renewAll() {
    leases.values().forEach(this::renew);
  }

  private void renew(Lease lease) {
    lease.expiresAt = timeline.seconds() + lease.ttlSeconds;
  }

  void end(long id) {
    leases.remove(id);
    List<String> bound = keys.boundTo(id);
    if (!bound.isEmpty()) {
      keys.nextRevision();
      bound.forEach(keys::remove);
      watches.respondToReady();
    }
  }

  void endExpired() {
    Set<Long> expired = new HashSet<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.expiresAt < timeline.seconds()) {
            expired.add(id);
          }
        });
    expired.forEach(this::end);
  }
}
