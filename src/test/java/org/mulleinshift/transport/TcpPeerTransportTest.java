package org.mulleinshift.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The peer link over real loopback sockets. */
final class TcpPeerTransportTest {
  private static byte[] readFrame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return in.readNBytes(in.readInt());
  }

  /**
   * After a cut a connection took frames for the rest of the day without delivering any: the
   * leader's assignments never reached a holder, and nothing ran (nms-radar-sofia, troubles).
   */
  @Test
  @Timeout(30)
  void connectsAnewWhenFramesAreNotAnswered() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
      TcpPeerTransport link =
          new TcpPeerTransport(
              new ThreadEventLoop(),
              Map.of("peer", address),
              frame -> {},
              Duration.ofMillis(50),
              1 << 20,
              1 << 20);
      link.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      try (Socket mute = server.accept()) {
        byte[] first = sendUntilRead(link, mute);
        assertArrayEquals(new byte[] {1, 2}, first);
        // The mute connection stays open and takes the frame, yet the link must come again.
        try (Socket second = server.accept()) {
          assertArrayEquals(new byte[] {1, 2}, sendUntilRead(link, second));
        }
      }
    }
  }

  /** Frames queued before a connection stands are dropped, so one is sent until one arrives. */
  private static byte[] sendUntilRead(TcpPeerTransport link, Socket socket) throws IOException {
    socket.setSoTimeout(100);
    while (true) {
      link.send("peer", new byte[] {1, 2});
      try {
        return readFrame(socket);
      } catch (java.net.SocketTimeoutException e) {
        link.send("peer", new byte[] {1, 2});
      }
    }
  }
}
