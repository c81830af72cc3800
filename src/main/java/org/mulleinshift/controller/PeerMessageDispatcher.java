package org.mulleinshift.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.mulleinshift.protocol.NodeId;

/** Hands each peer message to the handler of its type. A message of no such type is ignored. */
final class PeerMessageDispatcher {
  private final Map<Class<?>, BiConsumer<NodeId, Object>> handlers = new HashMap<>();

  /** Sets the handler of a type of message; it gets the sender too. */
  <T> void register(Class<T> type, BiConsumer<NodeId, T> handler) {
    handlers.put(type, (sender, message) -> handler.accept(sender, type.cast(message)));
  }

  /** Delivers a message that a controller, maybe this one itself, has sent. */
  void dispatch(NodeId sender, Object message) {
    BiConsumer<NodeId, Object> handler = handlers.get(message.getClass());
    if (handler != null) {
      handler.accept(sender, message);
    }
  }
}
