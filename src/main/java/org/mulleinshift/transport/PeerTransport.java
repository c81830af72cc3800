package org.mulleinshift.transport;

/** Best-effort delivery of frames to other controllers; frames may be lost but not reordered. */
public interface PeerTransport {
  /**
   * Queues a frame for sending.
   *
   * @param label label of the receiving controller; frames for unknown labels are dropped
   */
  void send(String label, byte[] frame);
}
