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
 * Exchanges messages with the other controllers in frames. Where two controllers don't reach each
 * other a third that reaches both relays their frames.
 */
final class FrameMessenger implements PeerMessenger {
  private static final Logger LOG = LoggerFactory.getLogger(FrameMessenger.class);

  /** Larger frames, in bytes, aren't relayed: their content is sent again in parts. */
  private static final int MAX_RELAYED_BYTES = 1 << 18;

  /** One of so many malformed frames is logged. */
  private static final int MALFORMED_FRAMES_PER_LOG = 100;

  /** The way that a frame has come. */
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
   * A messenger with nothing to send.
   *
   * @param loop ends the step whose messages share a frame
   * @param transport brings frames to other controllers
   * @param members the controllers of the cluster; frames of others are refused
   * @param failureDetector observes who sends frames, and knows who can relay
   * @param receiver gets each message with its sender
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
    // All messages of one step of the event loop to a peer share a frame.
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
    // A relayed frame may arrive a second time at worst: every message can be repeated.
    if (frame.length <= MAX_RELAYED_BYTES) {
      failureDetector
          .relayTo(node)
          .ifPresent(relay -> sendRelayed(relay, node, ByteBuffer.wrap(frame)));
    }
  }

  private void sendRelayed(NodeId nextHop, NodeId node, ByteBuffer frame) {
    RelayedFrame relayed = new RelayedFrame(node.value(), frame);
    transport.send(nextHop.value(), codec.write(members.self(), List.of(relayed)));
  }

  /** Receives a frame that a peer has sent to this controller itself. */
  void onFrame(byte[] frame) {
    receive(frame, Route.DIRECT);
  }

  /** A frame that is relayed to this controller, or that it is to relay; never by another hop. */
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
