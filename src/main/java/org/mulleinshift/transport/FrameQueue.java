package org.mulleinshift.transport;

import java.util.ArrayDeque;

/**
 * Frames that wait for a peer. When it is full it drops the oldest: newer frames replace what older
 * ones say, and what a peer never got is sent again, based on what it has acknowledged. A peer that
 * does not read costs no more memory than this.
 */
final class FrameQueue {
  private final ArrayDeque<byte[]> frames = new ArrayDeque<>();
  private final int maxFrames;
  private final long maxBytes;
  private long queuedBytes;

  FrameQueue(int maxFrames, long maxBytes) {
    this.maxFrames = maxFrames;
    this.maxBytes = maxBytes;
  }

  /** Adds a frame. The newest frame is always accepted, whatever its size. */
  synchronized void put(byte[] frame) {
    while (!frames.isEmpty()
        && (frames.size() >= maxFrames || queuedBytes + frame.length > maxBytes)) {
      queuedBytes -= frames.poll().length;
    }
    frames.add(frame);
    queuedBytes += frame.length;
    notifyAll();
  }

  /** Removes the oldest frame; waits until there is one. */
  synchronized byte[] take() throws InterruptedException {
    while (frames.isEmpty()) {
      wait();
    }
    byte[] frame = frames.poll();
    queuedBytes -= frame.length;
    return frame;
  }

  /** Drops all frames. */
  synchronized void clear() {
    frames.clear();
    queuedBytes = 0;
  }

  /** The size of all frames. */
  synchronized long queuedBytes() {
    return queuedBytes;
  }
}
