package org.mulleinshift.controller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.PeerMessenger;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.peer.PeerFrame;
import org.mulleinshift.protocol.peer.RelayedFrame;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges messages with the other controllers in frames. If two controllers can't reach each
 * other directly, a third one that reaches both relays their frames.
 */
final class FrameMessenger implements PeerMessenger {
  private static final Logger LOG = LoggerFactory.getLogger(FrameMessenger.class);

  /** Larger frames aren't relayed: their content is sent again in parts. */
  private static final int MAX_RELAYED_BYTES = 1 << 18;

  /** Only one in this many malformed frames is logged. */
  private static final int MALFORMED_FRAMES_PER_LOG = 100;

  /** How a frame reached this controller. */
  private enum Route {
    DIRECT,
    RELAYED
  }

  private final EventLoop loop;
  private final PeerTransport transport;
  private final ClusterMembers members;
  private final PeerFailureDetector failureDetector;
  private final BiConsumer<NodeId, Object> receiver;
  private final PeerCodec codec = new PeerCodec();
  private final Map<NodeId, List<Object>> outbox = new HashMap<>();
  private long malformedFrames;

  /**
   * Creates a messenger with nothing to send.
   *
   * @param loop the event loop; messages sent to a peer within one of its steps share a frame
   * @param transport sends frames to other controllers
   * @param members the controllers of the cluster; frames of other senders are refused
   * @param failureDetector is told who sends frames, and chooses relays
   * @param receiver receives each message with its sender
   */
  FrameMessenger(
      EventLoop loop,
      PeerTransport transport,
      ClusterMembers members,
      PeerFailureDetector failureDetector,
      BiConsumer<NodeId, Object> receiver) {
    this.loop = loop;
    this.transport = transport;
    this.members = members;
    this.failureDetector = failureDetector;
    this.receiver = receiver;
  }

  @Override
  public void send(NodeId node, Object message) {
    if (node.equals(members.self())) {
      receiver.accept(node, message);
      return;
    }
    // Batches the messages that one step of the event loop sends to a peer into one frame.
    List<Object> queued = outbox.computeIfAbsent(node, key -> new ArrayList<>());
    queued.add(message);
    if (queued.size() == 1) {
      loop.post(() -> flush(node));
    }
  }

  @Override
  public void broadcast(Object message) {
    send(members.self(), message);
    sendToOthers(message);
  }

  /** Sends a message to all other controllers. */
  void sendToOthers(Object message) {
    members.others().forEach(node -> send(node, message));
  }

  private void flush(NodeId node) {
    byte[] frame = codec.write(members.self(), outbox.remove(node));
    transport.send(node.value(), frame);
    // The receiver may get the frame twice, which is harmless: all messages are idempotent.
    if (frame.length <= MAX_RELAYED_BYTES) {
      failureDetector
          .findRelayTo(node)
          .ifPresent(relay -> sendRelayed(relay, node, ByteBuffer.wrap(frame)));
    }
  }

  private void sendRelayed(NodeId nextHop, NodeId node, ByteBuffer frame) {
    RelayedFrame relayed = new RelayedFrame(node.value(), frame);
    transport.send(nextHop.value(), codec.write(members.self(), List.of(relayed)));
  }

  /** Handles a frame that a peer sent directly to this controller. */
  void onFrame(byte[] frame) {
    receive(frame, Route.DIRECT);
  }

  /**
   * Handles a frame that was relayed to this controller, or that it should relay. The relay sends
   * it directly to its receiver, never through a second relay.
   */
  void onRelayedFrame(RelayedFrame relayed) {
    NodeId node = new NodeId(relayed.getReceiver());
    if (node.equals(members.self())) {
      byte[] frame = new byte[relayed.getFrame().remaining()];
      relayed.getFrame().duplicate().get(frame);
      receive(frame, Route.RELAYED);
    } else if (members.isOther(node)) {
      sendRelayed(node, node, relayed.getFrame());
    }
  }

  private void receive(byte[] frame, Route route) {
    try {
      PeerFrame content = codec.read(frame);
      NodeId sender = new NodeId(content.getSender());
      if (!members.isOther(sender)) {
        throw new MalformedMessageException("unknown sender");
      }
      switch (route) {
        case DIRECT -> failureDetector.onDirectMessage(sender);
        case RELAYED -> failureDetector.onRelayedMessage(sender);
      }
      content.getBodies().forEach(message -> receiver.accept(sender, message));
    } catch (MalformedMessageException e) {
      if (malformedFrames++ % MALFORMED_FRAMES_PER_LOG == 0) {
        LOG.warn("peer frame refused, reason={} refused={}", e.getMessage(), malformedFrames);
      }
    }
  }
}
