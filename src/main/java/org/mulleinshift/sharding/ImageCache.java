package org.mulleinshift.sharding;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The images that a machine's cache holds, as far as its owner can tell from its tasks. */
final class ImageCache {
  /** Sizes in GB, the image used longest ago first. */
  private final Map<String, Double> sizes = new LinkedHashMap<>();

  /**
   * A task runs from the image, so the machine has it; those used longest ago no longer fit.
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

  /** The images, the one used longest ago first. */
  Set<String> images() {
    return sizes.keySet();
  }
}
