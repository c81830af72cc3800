package org.mulleinshift.digest;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HexFormat;
import java.util.function.Consumer;
import org.mulleinshift.simulation.SentMessageListener;

/** Writes each sent message as one line, with the virtual time at which it was sent. */
final class MessageLineWriter implements SentMessageListener {
  private static final HexFormat HEX = HexFormat.of();

  private final Consumer<String> lines;

  MessageLineWriter(Consumer<String> lines) {
    this.lines = lines;
  }

  @Override
  public void requestSent(
      long nanos,
      String sender,
      InetSocketAddress target,
      String method,
      String path,
      String body,
      Duration deadline) {
    String address = target.getHostString() + ":" + target.getPort();
    write(nanos, sender, "call", address, method, path, deadline.toNanos(), body);
  }

  @Override
  public void frameSent(long nanos, String sender, String receiver, byte[] frame) {
    write(nanos, sender, "frame", receiver, HEX.formatHex(frame));
  }

  @Override
  public void responseSent(
      long nanos, String sender, String request, int status, String body, int retryAfter) {
    write(nanos, sender, "answer", request, status, retryAfter, body);
  }

  private void write(long nanos, String sender, Object... fields) {
    StringBuilder line = new StringBuilder().append(nanos).append(' ').append(sender);
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
