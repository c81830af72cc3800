package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A full cache evicts the least recently used images. */
final class ImageCacheTest {
  private static final double CAPACITY_GB = 10;

  private final ImageCache cache = new ImageCache();

  @Test
  void imageUsedLongestAgoIsEvictedWhenTheCacheIsFull() {
    cache.recordUse("first", 4, CAPACITY_GB);
    cache.recordUse("second", 4, CAPACITY_GB);
    cache.recordUse("first", 4, CAPACITY_GB);

    assertTrue(cache.recordUse("third", 4, CAPACITY_GB), "the set of images has changed");
    assertEquals(
        List.of("first", "third"),
        List.copyOf(cache.images()),
        "the second image is the least recently used");
  }

  @Test
  void imageLargerThanTheCacheStaysAlone() {
    cache.recordUse("small", 1, CAPACITY_GB);

    cache.recordUse("large", 20, CAPACITY_GB);

    assertEquals(List.of("large"), List.copyOf(cache.images()), "a task runs from the large image");
  }

  @Test
  void repeatedUseChangesNothing() {
    cache.recordUse("only", 4, CAPACITY_GB);

    assertFalse(cache.recordUse("only", 4, CAPACITY_GB), "the set of images is the same");
  }
}
