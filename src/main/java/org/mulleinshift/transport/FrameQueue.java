package org.mulleinshift.transport;

import java.util.ArrayDeque;

/**
 * A bounded queue of frames to one peer. When full it drops the oldest frames: newer frames
 * supersede them, and content that the peer has not acknowledged is sent again. The bounds limit
 * the memory used for a peer that does not read.
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

  /** Adds a frame. It is accepted even if it alone exceeds the bounds. */
  synchronized void put(byte[] frame) {
    while (!frames.isEmpty()
        && (frames.size() >= maxFrames || queuedBytes + frame.length > maxBytes)) {
      queuedBytes -= frames.poll().length;
    }
    frames.add(frame);
    queuedBytes += frame.length;
    notifyAll();
  }

  /** Removes and returns the oldest frame; blocks while the queue is empty. */
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

  /** Total size of the queued frames. */
  synchronized long queuedBytes() {
    return queuedBytes;
  }
}
