package org.mulleinshift.transport;

/** Best-effort frames to the other controllers; a frame may be lost, never reordered. */
public interface PeerTransport {
  /**
   * Queues a frame.
   *
   * @param label of the controller that it is for; frames for unknown ones are dropped
   */
  void send(String label, byte[] frame);
}
