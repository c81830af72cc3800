package org.mulleinshift.sharding;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The images in a machine's cache, estimated by the shard's owner from the tasks that ran there.
 * The least recently used images are assumed to be evicted first.
 */
final class ImageCache {
  /** Sizes in GB, least recently used image first. */
  private final Map<String, Double> sizes = new LinkedHashMap<>();

  /**
   * Records that a task runs from the image, which is therefore cached, and evicts the least
   * recently used other images until all fit the capacity.
   *
   * @return whether the set of images changed
   */
  boolean recordUse(String image, double sizeGb, double capacityGb) {
    boolean changed = sizes.remove(image) == null;
    sizes.put(image, sizeGb);
    double total = sizes.values().stream().mapToDouble(Double::doubleValue).sum();
    Iterator<Double> oldest = sizes.values().iterator();
    while (sizes.size() > 1 && total > capacityGb) {
      total -= oldest.next();
      oldest.remove();
      changed = true;
    }
    return changed;
  }

  /** The cached images, least recently used first. */
  Set<String> images() {
    return sizes.keySet();
  }
}
