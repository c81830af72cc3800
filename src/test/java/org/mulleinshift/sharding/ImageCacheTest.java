package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The images used longest ago leave a full cache. */
final class ImageCacheTest {
  private static final double CAPACITY_GB = 10;

  private final ImageCache cache = new ImageCache();

  @Test
  void imageUsedLongestAgoIsEvictedWhenTheCacheIsFull() {
    cache.use("first", 4, CAPACITY_GB);
    cache.use("second", 4, CAPACITY_GB);
    cache.use("first", 4, CAPACITY_GB);

    assertTrue(cache.use("third", 4, CAPACITY_GB), "the set of images has changed");
    assertEquals(List.of("first", "third"), List.copyOf(cache.images()), "second is the oldest");
  }

  @Test
  void imageLargerThanTheCacheStaysAlone() {
    cache.use("small", 1, CAPACITY_GB);

    cache.use("large", 20, CAPACITY_GB);

    assertEquals(List.of("large"), List.copyOf(cache.images()), "a task runs from it");
  }

  @Test
  void repeatedUseChangesNothing() {
    cache.use("only", 4, CAPACITY_GB);

    assertFalse(cache.use("only", 4, CAPACITY_GB), "the set of images is the same");
  }
}
