package org.mulleinshift.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The connections between controllers, over real loopback sockets. */
final class TcpPeerTransportTest {
  private static byte[] readFrame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return in.readNBytes(in.readInt());
  }

  private static final byte[] FRAME = {1, 2};
  private static final String PEER = "peer";
  private static final Duration ACK_TIMEOUT = Duration.ofMillis(50);
  private static final int READ_TIMEOUT_MILLIS = 100;
  private static final int MAX_BYTES = 1 << 20;

  /**
   * After a network partition a connection may take frames for ever without delivering any: then
   * assignments never reach a shard's owner, and nothing runs.
   */
  @Test
  @Timeout(30)
  void reconnectsWhenFramesAreNotAcknowledged() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
      TcpPeerTransport transport =
          new TcpPeerTransport(
              new ThreadEventLoop(),
              Map.of(PEER, address),
              frame -> {},
              ACK_TIMEOUT,
              MAX_BYTES,
              MAX_BYTES);
      transport.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
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

  /** Frames queued before a connection is open are dropped, so one is sent until one arrives. */
  private static byte[] sendUntilRead(TcpPeerTransport transport, Socket socket)
      throws IOException {
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    while (true) {
      transport.send(PEER, FRAME);
      try {
        return readFrame(socket);
      } catch (SocketTimeoutException e) {
        transport.send(PEER, FRAME);
      }
    }
  }
}
