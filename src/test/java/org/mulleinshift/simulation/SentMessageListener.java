package org.mulleinshift.simulation;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Observes everything that a simulated controller sends, at the moment it is sent. */
public interface SentMessageListener {
  /** Observes nothing. */
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

  /** A request to the store, the cloud or a worker. */
  void requestSent(
      long nanos,
      String sender,
      InetSocketAddress target,
      String method,
      String path,
      String body,
      Duration deadline);

  /** A frame to another controller. */
  void frameSent(long nanos, String sender, String receiver, byte[] frame);

  /** A response to a request, {@code retryAfter} in seconds, or 0 for none. */
  void responseSent(
      long nanos, String sender, String request, int status, String body, int retryAfter);
}
