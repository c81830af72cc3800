import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP/1.1 on loopback: a server with a thread for each connection, and a client. */
final class Http {
  record Request(String method, String path, Map<String, String> query, String body) {}

  /** An answer; retryAfter is 0 if the header is absent. */
  record Answer(int status, String body, int retryAfter) {
    Answer(int status, String body) {
      this(status, body, 0);
    }
  }

  interface Handler {
    /** Returns the answer, or null to close the connection without one. */
    Answer handle(Request request) throws Exception;
  }

  private Http() {}

  /**
   * Reserves a free port below those that outgoing connections get, so that none of them takes it.
   * The port stays reserved until the socket is closed.
   */
  static ServerSocket reservePort() throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      try {
        return new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
      } catch (BindException e) {
        // Taken: the next attempt draws another one.
      }
    }
    throw new IOException("no free port");
  }

  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Handler handler;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      this.socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      Thread thread = new Thread(this::accept, "accept");
      thread.setDaemon(true);
      thread.start();
    }

    int port() {
      return socket.getLocalPort();
    }

    private void accept() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          Thread thread = new Thread(() -> serve(connection), "serve");
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          String line = readLine(in);
          if (line == null) {
            return;
          }
          String[] parts = line.split(" ");
          Map<String, String> headers = readHeaders(in);
          String body = readBody(in, headers, false);
          int mark = parts[1].indexOf('?');
          Map<String, String> query = new HashMap<>();
          if (mark >= 0) {
            for (String pair : parts[1].substring(mark + 1).split("&")) {
              int equals = pair.indexOf('=');
              query.put(
                  pair.substring(0, equals),
                  URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
          }
          String path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
          Answer answer = handler.handle(new Request(parts[0], path, query, body));
          if (answer == null) {
            return;
          }
          byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
          ByteArrayOutputStream whole = new ByteArrayOutputStream();
          whole.write(
              ("HTTP/1.1 "
                      + answer.status()
                      + " x\r\nContent-Type: application/json\r\nContent-Length: "
                      + bytes.length
                      + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          whole.write(bytes);
          out.write(whole.toByteArray());
          out.flush();
        }
      } catch (Exception e) {
        // The connection ends.
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A client with one connection, which is opened again after a failure. */
  static final class Client {
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
      this.port = port;
    }

    synchronized Answer call(String method, String path, String body, int timeoutMillis)
        throws IOException {
      boolean ok = false;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
          in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout(timeoutMillis);
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(
            (method
                    + " "
                    + path
                    + " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                    + (body == null
                        ? ""
                        : "Content-Type: application/json\r\nContent-Length: "
                            + bytes.length
                            + "\r\n")
                    + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        whole.write(bytes);
        socket.getOutputStream().write(whole.toByteArray());
        socket.getOutputStream().flush();
        String line = readLine(in);
        if (line == null) {
          throw new EOFException("no answer");
        }
        Map<String, String> headers = readHeaders(in);
        String text = readBody(in, headers, true);
        ok = !"close".equalsIgnoreCase(headers.get("connection"));
        int retryAfter = Integer.parseInt(headers.getOrDefault("retry-after", "0").trim());
        Answer answer = new Answer(Integer.parseInt(line.split(" ")[1]), text, retryAfter);
        if (!ok) {
          close();
        }
        return answer;
      } catch (IOException e) {
        close();
        throw e;
      }
    }

    synchronized void close() {
      if (socket != null) {
        try {
          socket.close();
        } catch (IOException e) {
          // Closed all the same.
        }
        socket = null;
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.US_ASCII);
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private static String readBody(InputStream in, Map<String, String> headers, boolean answer)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int length = Integer.parseInt(readLine(in).trim(), 16);
        body.write(in.readNBytes(length));
        readLine(in);
        if (length == 0) {
          return body.toString(StandardCharsets.UTF_8);
        }
      }
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("body cut off");
    }
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
