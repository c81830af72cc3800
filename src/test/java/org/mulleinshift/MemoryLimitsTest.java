package org.mulleinshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.memory.MemoryBudget;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.transport.JdkHttpServer;
import org.mulleinshift.transport.ManualEventLoop;
import org.mulleinshift.transport.Responder;
import org.mulleinshift.transport.TcpPeerTransport;

/** What a controller holds at most, over real loopback sockets. */
final class MemoryLimitsTest {
  private static final long MIB = 1 << 20;
  private static final int BODY = 60_000;

  @ParameterizedTest
  @CsvSource({"176, 700", "205, 1500", "414, 2391", "414, 3762", "96, 20000"})
  void whatIsHeldFitsIntoTheNode(double memoryMb, int sockets) {
    MemoryBudget budget = MemoryBudget.of(memoryMb, sockets, 320 * MIB);
    assertTrue(
        budget.heapLimitBytes() + 40 * MIB <= memoryMb * MIB, "heap " + budget.heapLimitBytes());
    long held =
        24L * 1024 * budget.maxIdleConnections()
            + budget.userBodyBytes()
            + budget.heartbeatBodyBytes()
            + 4L * budget.peerQueueBytes()
            + budget.peerIncomingBytes();
    assertTrue(
        held <= 0.7 * budget.heapLimitBytes(), "held " + held + " of " + budget.heapLimitBytes());
  }

  /** Frames of up to 4 MiB waited for a peer that hung, up to 64 of them. */
  @Test
  @Timeout(30)
  void aPeerThatDoesNotReadCostsNoMoreThanItsQueue() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
      int most = 256 * 1024;
      TcpPeerTransport link =
          new TcpPeerTransport(
              new ManualEventLoop(),
              Map.of("peer", address),
              frame -> {},
              Duration.ofSeconds(20),
              most,
              most);
      for (int i = 0; i < 200; i++) {
        link.send("peer", new byte[100_000]);
        assertTrue(link.queuedBytes("peer") <= most, "holds " + link.queuedBytes("peer"));
      }
      assertTrue(link.queuedBytes("peer") >= 100_000, "the newest frame is kept");
    }
  }

  @Test
  @Timeout(60)
  void usersBodiesAreBoundedAndReportsStillHeard()
      throws IOException, InterruptedException, MalformedMessageException {
    ManualEventLoop loop = new ManualEventLoop();
    String report = reportOf(4000);
    JdkHttpServer frontend =
        new JdkHttpServer(
            loop,
            MemoryLimitsTest::countReportedTasks,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new JdkHttpServer.Limits(4, 4 * BODY, 1 << 20, WorkerCodec.HEARTBEAT_PATH::equals));
    frontend.start();
    Socket[] users = new Socket[4];
    Runnable[] waiting = new Runnable[4];
    for (int i = 0; i < users.length; i++) {
      users[i] = request(frontend, "/v2/runs", "x".repeat(BODY));
      waiting[i] = loop.takeStep();
    }
    // The loop lags behind and holds all that it may: the next is refused at once.
    try (Socket fifth = request(frontend, "/v2/runs", "x".repeat(BODY))) {
      assertEquals(503, status(fifth));
    }
    assertTrue(report.length() > 3 * 64 * 1024, "as long as " + report.length());
    try (Socket worker = request(frontend, WorkerCodec.HEARTBEAT_PATH, report)) {
      loop.takeStep().run();
      assertEquals(200, status(worker));
    }
    try (Socket tooLong = request(frontend, "/v2/runs", "x".repeat(70_000))) {
      assertEquals(413, status(tooLong));
    }
    for (int i = 0; i < users.length; i++) {
      waiting[i].run();
      assertEquals(200, status(users[i]));
      users[i].close();
    }
    try (Socket sixth = request(frontend, "/v2/runs", "x".repeat(BODY))) {
      loop.takeStep().run();
      assertEquals(200, status(sixth));
    }
  }

  /** Responds to a heartbeat with the number of its tasks, and to any other request with none. */
  private static void countReportedTasks(
      String method, String path, String body, Responder responder) {
    try {
      int tasks =
          path.equals(WorkerCodec.HEARTBEAT_PATH)
              ? WorkerCodec.parseHeartbeat(body).tasks().size()
              : 0;
      responder.respond(200, "{\"tasks\":" + tasks + "}");
    } catch (MalformedMessageException e) {
      responder.respond(400, "{}");
    }
  }

  /** What a large machine says after a long time without an answer. */
  private static String reportOf(int tasks) {
    StringBuilder body =
        new StringBuilder(
            "{\"host\":\"i-1\",\"addr\":\"10.1.0.1:9000\",\"build\":\"b\",\"yard\":\"a\",\"loaner\":true,"
                + "\"shift\":1,\"tick\":88,\"baton\":41,\"recall_s\":null,\"pieces\":[");
    for (int i = 0; i < tasks; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"piece\":\"run-000398/")
          .append(i)
          .append("\",\"try\":1,\"phase\":\"exited\",\"cause\":\"done\"}");
    }
    return body.append("]}").toString();
  }

  private static Socket request(JdkHttpServer frontend, String path, String body)
      throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), frontend.address().getPort());
    socket.setSoTimeout(20_000);
    String head =
        "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n";
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static int status(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    return Integer.parseInt(in.readLine().split(" ", 0)[1]);
  }
}
