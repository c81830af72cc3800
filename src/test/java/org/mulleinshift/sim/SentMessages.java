package org.mulleinshift.sim;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Observes everything that a simulated controller sends, at the moment it is sent. */
interface SentMessages {
  /** Observes nothing. */
  SentMessages IGNORED =
      new SentMessages() {
        @Override
        public void call(
            long nanos,
            String node,
            InetSocketAddress target,
            String method,
            String path,
            String body,
            Duration deadline) {}

        @Override
        public void frame(long nanos, String node, String receiver, byte[] frame) {}

        @Override
        public void answer(
            long nanos, String node, String request, int status, String body, int retryAfter) {}
      };

  /** A request to the state service, the cloud or a worker. */
  void call(
      long nanos,
      String node,
      InetSocketAddress target,
      String method,
      String path,
      String body,
      Duration deadline);

  /** A frame to another controller. */
  void frame(long nanos, String node, String receiver, byte[] frame);

  /** An answer to a request, {@code retryAfter} in seconds, or 0 for none. */
  void answer(long nanos, String node, String request, int status, String body, int retryAfter);
}
