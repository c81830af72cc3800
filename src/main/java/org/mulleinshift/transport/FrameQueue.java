package org.mulleinshift.transport;

import java.util.ArrayDeque;

/**
 * Frames that wait for a peer. Full, it drops the oldest: what is newer says more, and what a peer
 * never got is sent again from what it confirmed. A peer that does not read costs no more than
 * this.
 */
final class FrameQueue {
  private final ArrayDeque<byte[]> frames = new ArrayDeque<>();
  private final int maxFrames;
  private final long maxBytes;
  private long bytes;

  FrameQueue(int maxFrames, long maxBytes) {
    this.maxFrames = maxFrames;
    this.maxBytes = maxBytes;
  }

  /** The newest frame is always taken, whatever its size. */
  synchronized void put(byte[] frame) {
    while (!frames.isEmpty() && (frames.size() >= maxFrames || bytes + frame.length > maxBytes)) {
      bytes -= frames.poll().length;
    }
    frames.add(frame);
    bytes += frame.length;
    notifyAll();
  }

  /** Waits for a frame. */
  synchronized byte[] take() throws InterruptedException {
    while (frames.isEmpty()) {
      wait();
    }
    byte[] frame = frames.poll();
    bytes -= frame.length;
    return frame;
  }

  synchronized void clear() {
    frames.clear();
    bytes = 0;
  }

  synchronized long bytes() {
    return bytes;
  }
}
