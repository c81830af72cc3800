package org.mulleinshift.membership;

import org.mulleinshift.protocol.NodeId;

/** Sends messages to controllers; one to this controller itself is delivered synchronously. */
public interface PeerMessenger {
  /** Sends a message of the peer schema, which may be lost or delivered more than once. */
  void send(NodeId receiver, Object message);

  /** Sends a message to all controllers, including this one. */
  void broadcast(Object message);
}
