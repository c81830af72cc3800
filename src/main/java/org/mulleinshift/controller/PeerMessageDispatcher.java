package org.mulleinshift.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.mulleinshift.protocol.NodeId;

/** Passes each peer message to the handler of its type; without a handler it is ignored. */
final class PeerMessageDispatcher {
  private final Map<Class<?>, BiConsumer<NodeId, Object>> handlers = new HashMap<>();

  /** Registers the handler of a message type; the handler also receives the sender. */
  <T> void register(Class<T> type, BiConsumer<NodeId, T> handler) {
    handlers.put(type, (sender, message) -> handler.accept(sender, type.cast(message)));
  }

  /** Delivers a message; the sender may be this controller itself. */
  void dispatch(NodeId sender, Object message) {
    BiConsumer<NodeId, Object> handler = handlers.get(message.getClass());
    if (handler != null) {
      handler.accept(sender, message);
    }
  }
}
