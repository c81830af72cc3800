package org.mulleinshift.membership;

import org.mulleinshift.protocol.NodeId;

/** Sends messages to controllers; one to this controller itself is delivered at once. */
public interface PeerMessenger {
  /** Sends a message of the peer schema; it may be lost, and may arrive a second time. */
  void send(NodeId receiver, Object message);

  /** Sends a message to this controller and to all others. */
  void broadcast(Object message);
}
