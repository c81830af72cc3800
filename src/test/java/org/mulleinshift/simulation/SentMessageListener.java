package org.mulleinshift.simulation;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Observes everything that a simulated controller sends, at the moment it is sent. */
public interface SentMessageListener {
  /** Ignores all messages. */
  SentMessageListener IGNORED =
      new SentMessageListener() {
        @Override
        public void requestSent(
            long nanos,
            String sender,
            InetSocketAddress target,
            String method,
            String path,
            String body,
            Duration deadline) {}

        @Override
        public void frameSent(long nanos, String sender, String receiver, byte[] frame) {}

        @Override
        public void responseSent(
            long nanos, String sender, String request, int status, String body, int retryAfter) {}
      };

  /** Called when a request to the store, the cloud or a worker is sent. */
  void requestSent(
      long nanos,
      String sender,
      InetSocketAddress target,
      String method,
      String path,
      String body,
      Duration deadline);

  /** Called when a frame is sent to another controller. */
  void frameSent(long nanos, String sender, String receiver, byte[] frame);

  /** Called when a response is sent; {@code retryAfter} is in seconds, 0 if absent. */
  void responseSent(
      long nanos, String sender, String request, int status, String body, int retryAfter);
}
