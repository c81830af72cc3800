package org.mulleinshift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.peer.LeadershipTransfer;
import org.mulleinshift.protocol.peer.RelayedFrame;

/** Messages are batched into frames; frames are delivered, relayed or refused. */
final class FrameMessengerTest {
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId PEER = new NodeId("node-1");
  private static final NodeId OTHER = new NodeId("node-2");
  private static final NodeId NON_MEMBER = new NodeId("node-9");
  private static final LeadershipTransfer FIRST = new LeadershipTransfer(1L, 1L, "node-2");
  private static final LeadershipTransfer SECOND = new LeadershipTransfer(2L, 2L, "node-2");

  private final PeerCodec codec = new PeerCodec();
  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<Sent> sent = new ArrayList<>();
  private final List<Received> received = new ArrayList<>();
  private final FrameMessenger messenger =
      new FrameMessenger(
          loop,
          (label, frame) -> sent.add(new Sent(label, ByteBuffer.wrap(frame))),
          new ClusterMembers(SELF, List.of(PEER, OTHER), List.of(OTHER, PEER)),
          new PeerFailureDetector(loop, SELF),
          (sender, message) -> received.add(new Received(sender, message)));

  private record Sent(String receiver, ByteBuffer frame) {}

  private record Received(NodeId sender, Object message) {}

  @Test
  void messagesOfOneStepToAPeerShareAFrame() throws MalformedMessageException {
    // When two messages are sent in one step
    messenger.send(PEER, FIRST);
    messenger.send(PEER, SECOND);
    loop.runFor(0);

    // Then one frame carries both in order
    assertEquals(1, sent.size(), "frames sent");
    assertEquals("node-1", sent.get(0).receiver(), "receiver of the frame");
    assertEquals(
        List.of(FIRST, SECOND),
        codec.read(sent.get(0).frame().array()).getBodies(),
        "messages in it");
  }

  @Test
  void aMessageToThisControllerIsDeliveredAtOnce() {
    // When this controller sends to itself
    messenger.send(SELF, FIRST);

    // Then no frame is needed
    assertEquals(List.of(new Received(SELF, FIRST)), received, "messages delivered");
    loop.runFor(0);
    assertEquals(List.of(), sent, "frames sent");
  }

  @Test
  void aBroadcastReachesThisControllerAndAllOthersInOrder() {
    // When a message is broadcast
    messenger.broadcast(FIRST);
    loop.runFor(0);

    // Then all controllers receive it
    assertEquals(List.of(new Received(SELF, FIRST)), received, "messages delivered here");
    assertEquals(
        List.of("node-1", "node-2"),
        sent.stream().map(Sent::receiver).toList(),
        "receivers of frames");
  }

  @Test
  void aRelayedFrameForThisControllerIsDelivered() {
    // Given a frame of a peer that another controller relays
    ByteBuffer frame = ByteBuffer.wrap(codec.write(PEER, List.of(FIRST)));

    // When it arrives
    messenger.onRelayedFrame(new RelayedFrame("node-0", frame));

    // Then its sender is the peer that wrote it, not the relay
    assertEquals(List.of(new Received(PEER, FIRST)), received, "messages delivered");
  }

  @Test
  void aFrameToRelayIsSentToItsReceiver() throws MalformedMessageException {
    // Given a frame of one peer to another
    RelayedFrame toRelay =
        new RelayedFrame("node-2", ByteBuffer.wrap(codec.write(PEER, List.of(FIRST))));

    // When this controller is to relay it
    messenger.onRelayedFrame(toRelay);

    // Then it is sent to its receiver unchanged, and not delivered here
    assertEquals(List.of(), received, "messages delivered here");
    assertEquals(List.of("node-2"), sent.stream().map(Sent::receiver).toList(), "receivers");
    assertEquals(
        List.of(toRelay),
        codec.read(sent.get(0).frame().array()).getBodies(),
        "messages in the frame");
  }

  @Test
  void aFrameForAControllerThatIsNoMemberIsNotRelayed() {
    // When a frame should be relayed to a controller that is no member
    messenger.onRelayedFrame(
        new RelayedFrame("node-9", ByteBuffer.wrap(codec.write(PEER, List.of(FIRST)))));

    // Then it is dropped
    assertEquals(List.of(), sent, "frames sent");
  }

  @Test
  void aFrameOfAnUnknownSenderIsRefused() {
    // When a controller that is no member sends a frame
    messenger.onFrame(codec.write(NON_MEMBER, List.of(FIRST)));

    // Then none of its messages is delivered
    assertEquals(List.of(), received, "messages delivered");
  }

  @Test
  void aMalformedFrameIsRefused() {
    // When bytes arrive that are not a frame
    messenger.onFrame(new byte[] {1, 2, 3});

    // Then nothing is delivered
    assertEquals(List.of(), received, "messages delivered");
  }
}
