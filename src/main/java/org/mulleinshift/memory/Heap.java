package org.mulleinshift.memory;

/** The heap, where the memory of objects is allocated. */
public interface Heap {
  /** Bytes in use, those of unreachable objects included. */
  long usedBytes();

  /** Frees unreachable objects; takes some tens of milliseconds. */
  void collect();

  /** The heap of this process. */
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
