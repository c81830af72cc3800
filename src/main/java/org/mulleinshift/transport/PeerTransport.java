package org.mulleinshift.transport;

/** Best-effort frames to the other controllers; a frame may be lost, never reordered. */
public interface PeerTransport {
  void send(String label, byte[] frame);
}
