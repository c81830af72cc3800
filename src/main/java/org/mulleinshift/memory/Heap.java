package org.mulleinshift.memory;

/** The memory that objects take. */
public interface Heap {
  /** Bytes taken, what is no longer reachable included. */
  long used();

  /** Frees what is no longer reachable; takes some tens of milliseconds. */
  void collect();

  /** The heap of this process. */
  static Heap ofProcess() {
    return new Heap() {
      @Override
      public long used() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
      }

      @Override
      public void collect() {
        System.gc();
      }
    };
  }
}
