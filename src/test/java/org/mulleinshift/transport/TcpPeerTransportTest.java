package org.mulleinshift.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Peer connections between controllers, over loopback sockets. */
final class TcpPeerTransportTest {
  private static byte[] readFrame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return in.readNBytes(in.readInt());
  }

  private static final byte[] FRAME = {1, 2};
  private static final byte[] SENT_FRAME = {0, 0, 0, 2, 1, 2};
  private static final int LONGEST_FRAME = 4 * 1024 * 1024;
  private static final byte[] LONGEST_FRAME_LENGTH = {0, 0x40, 0, 0};
  private static final byte[] TOO_LONG_FRAME_LENGTH = {0, 0x40, 0, 1};
  private static final int ACK = 6;
  private static final String PEER = "peer";
  private static final Duration ACK_TIMEOUT = Duration.ofMillis(50);
  private static final int READ_TIMEOUT_MILLIS = 100;
  private static final int MAX_BYTES = 1 << 20;

  /**
   * After a network partition a connection may accept frames indefinitely without delivering them.
   * Without a reconnect, assignments would never reach a shard's owner, and no task would run.
   */
  @Test
  @Timeout(30)
  void reconnectsWhenFramesAreNotAcknowledged() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
      TcpPeerTransport transport =
          start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), Map.of(PEER, address));
      try (Socket first = server.accept()) {
        byte[] received = sendUntilRead(transport, first);
        assertArrayEquals(FRAME, received, "frame on the first connection");
        // The first connection stays open and takes the frame, but never acknowledges it.
        try (Socket second = server.accept()) {
          byte[] receivedAgain = sendUntilRead(transport, second);
          assertArrayEquals(FRAME, receivedAgain, "frame on the second connection");
        }
      }
    }
  }

  /** The wire format is compatible with earlier builds: a four-byte length, then the frame. */
  @Test
  @Timeout(30)
  void sendsTheLengthInFrontOfTheFrame() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
      TcpPeerTransport transport =
          start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), Map.of(PEER, address));
      try (Socket socket = server.accept()) {
        byte[] bytes =
            sendUntilRead(
                transport, socket, from -> from.getInputStream().readNBytes(SENT_FRAME.length));
        assertArrayEquals(SENT_FRAME, bytes, "bytes of a frame");
      }
    }
  }

  /** Each frame is acknowledged by one byte; an invalid length closes the connection instead. */
  @Test
  @Timeout(30)
  void acknowledgesFramesByOneByte() throws IOException, InterruptedException {
    InetSocketAddress address = freeAddress();
    BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    ThreadEventLoop loop = new ThreadEventLoop();
    new TcpPeerTransport(loop, Map.of(), received::add, ACK_TIMEOUT, MAX_BYTES, MAX_BYTES)
        .start(address);
    DaemonThreads.create("test-loop", () -> runLoop(loop)).start();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write(SENT_FRAME);
      assertEquals(ACK, socket.getInputStream().read(), "acknowledgement");
      assertArrayEquals(FRAME, received.take(), "received frame");
      socket.getOutputStream().write(LONGEST_FRAME_LENGTH);
      socket.getOutputStream().write(new byte[LONGEST_FRAME]);
      assertEquals(ACK, socket.getInputStream().read(), "acknowledgement of the longest frame");
      assertEquals(LONGEST_FRAME, received.take().length, "length of the longest frame");
      socket.getOutputStream().write(TOO_LONG_FRAME_LENGTH);
      assertEquals(-1, socket.getInputStream().read(), "end after a length that is too large");
    }
  }

  private static TcpPeerTransport start(
      InetSocketAddress bindAddress, Map<String, InetSocketAddress> peers) throws IOException {
    TcpPeerTransport transport =
        new TcpPeerTransport(
            new ThreadEventLoop(), peers, frame -> {}, ACK_TIMEOUT, MAX_BYTES, MAX_BYTES);
    transport.start(bindAddress);
    return transport;
  }

  /** An address that nothing listens on. */
  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), unused.getLocalPort());
    }
  }

  private static void runLoop(ThreadEventLoop loop) {
    try {
      loop.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads bytes from the receiving end of a connection. */
  private interface FrameReader {
    byte[] read(Socket socket) throws IOException;
  }

  private static byte[] sendUntilRead(TcpPeerTransport transport, Socket socket)
      throws IOException {
    return sendUntilRead(transport, socket, TcpPeerTransportTest::readFrame);
  }

  /** Sends a frame repeatedly, since frames queued before the connection opens are dropped. */
  private static byte[] sendUntilRead(TcpPeerTransport transport, Socket socket, FrameReader reader)
      throws IOException {
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    while (true) {
      transport.send(PEER, FRAME);
      try {
        return reader.read(socket);
      } catch (SocketTimeoutException e) {
        transport.send(PEER, FRAME);
      }
    }
  }
}
