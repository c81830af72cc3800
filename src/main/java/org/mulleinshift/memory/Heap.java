package org.mulleinshift.memory;

/** A garbage-collected heap; an interface so that tests can simulate its usage. */
public interface Heap {
  /** Returns the number of bytes in use, including unreachable objects. */
  long usedBytes();

  /** Runs a full garbage collection; blocks the caller for some tens of milliseconds. */
  void collect();

  /** Returns the heap of this process. */
  static Heap ofProcess() {
    return new Heap() {
      @Override
      public long usedBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
      }

      @Override
      public void collect() {
        System.gc();
      }
    };
  }
}
