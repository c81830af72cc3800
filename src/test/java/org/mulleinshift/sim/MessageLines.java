package org.mulleinshift.sim;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HexFormat;
import java.util.function.Consumer;

/** Writes each sent message as one line, with the virtual time at which it was sent. */
final class MessageLines implements SentMessages {
  private static final HexFormat HEX = HexFormat.of();

  private final Consumer<String> lines;

  MessageLines(Consumer<String> lines) {
    this.lines = lines;
  }

  @Override
  public void call(
      long nanos,
      String node,
      InetSocketAddress target,
      String method,
      String path,
      String body,
      Duration deadline) {
    String address = target.getHostString() + ":" + target.getPort();
    write(nanos, node, "call", address, method, path, deadline.toNanos(), body);
  }

  @Override
  public void frame(long nanos, String node, String receiver, byte[] frame) {
    write(nanos, node, "frame", receiver, HEX.formatHex(frame));
  }

  @Override
  public void answer(
      long nanos, String node, String request, int status, String body, int retryAfter) {
    write(nanos, node, "answer", request, status, retryAfter, body);
  }

  private void write(long nanos, String node, Object... fields) {
    StringBuilder line = new StringBuilder().append(nanos).append(' ').append(node);
    for (Object field : fields) {
      line.append(' ').append(escaped(field.toString()));
    }
    lines.accept(line.append('\n').toString());
  }

  /** Keeps a message on its line and its fields apart from each other. */
  private static String escaped(String field) {
    return field
        .replace("\\", "\\\\")
        .replace("\n", "\\n")
        .replace("\r", "\\r")
        .replace(" ", "\\s");
  }
}
