package org.mulleinshift.transport;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends frames over one TCP connection to each peer, each with its own thread and bounded queue.
 * Every frame is prefixed with its length and acknowledged by one byte on the same connection:
 * after a network partition a connection may accept frames indefinitely without delivering them or
 * failing, which only a missing acknowledgement reveals.
 */
public final class TcpPeerTransport implements PeerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerTransport.class);
  private static final int MAX_FRAME_BYTES = 4 << 20;
  private static final int BUFFER_BYTES = 16 * 1024;

  /** Size of one permit of the limit on received frames that wait for the event loop. */
  private static final int BYTES_PER_PERMIT = 1024;

  private static final int MAX_QUEUED_FRAMES = 64;
  private static final int MAX_INCOMING_CONNECTIONS = 16;
  private static final int MAX_PENDING_CONNECTIONS = 16;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int READ_TIMEOUT_MILLIS = 5000;
  private static final int RECONNECT_BACKOFF_MILLIS = 500;
  private static final int ACK = 6;

  private final Map<String, FrameQueue> queues = new HashMap<>();
  private final Map<String, InetSocketAddress> peers;
  private final EventLoop loop;
  private final int ackTimeoutMillis;
  private final Consumer<byte[]> receiver;
  private final Semaphore incomingConnections = new Semaphore(MAX_INCOMING_CONNECTIONS);
  private final int incomingPermitLimit;
  private final Semaphore incomingPermits;

  /**
   * Creates a transport that is not started.
   *
   * @param loop runs the receiver
   * @param peers addresses of the other controllers by label
   * @param receiver receives the frames of all peers, on the event loop
   * @param ackTimeout how long to wait for the acknowledgement of a frame before reconnecting
   * @param maxQueuedBytes limit on the size of the frames queued for one peer
   * @param maxIncomingBytes limit on the size of the received frames that wait for the event loop
   */
  public TcpPeerTransport(
      EventLoop loop,
      Map<String, InetSocketAddress> peers,
      Consumer<byte[]> receiver,
      Duration ackTimeout,
      int maxQueuedBytes,
      int maxIncomingBytes) {
    this.loop = loop;
    this.ackTimeoutMillis = (int) ackTimeout.toMillis();
    this.peers = peers;
    this.receiver = receiver;
    this.incomingPermitLimit = Math.max(1, maxIncomingBytes / BYTES_PER_PERMIT);
    this.incomingPermits = new Semaphore(incomingPermitLimit);
    peers
        .keySet()
        .forEach(label -> queues.put(label, new FrameQueue(MAX_QUEUED_FRAMES, maxQueuedBytes)));
  }

  /**
   * Starts to accept connections and to connect to the peers.
   *
   * @throws IOException if the address can't be bound
   */
  public void start(InetSocketAddress bindAddress) throws IOException {
    ServerSocket server = new ServerSocket();
    try {
      server.setReuseAddress(true);
      server.bind(bindAddress, MAX_PENDING_CONNECTIONS);
    } catch (IOException e) {
      server.close();
      throw e;
    }
    startThread("peer-accept", () -> accept(server));
    peers.forEach((label, address) -> startThread("peer-" + label, () -> sendLoop(label, address)));
  }

  @Override
  public void send(String label, byte[] frame) {
    FrameQueue queue = queues.get(label);
    if (queue != null) {
      queue.put(frame);
    }
  }

  /** Total size of the frames queued for a known peer. */
  public long queuedBytes(String label) {
    return queues.get(label).queuedBytes();
  }

  private static void startThread(String name, Runnable body) {
    DaemonThreads.create(name, body).start();
  }

  private void sendLoop(String label, InetSocketAddress address) {
    FrameQueue queue = queues.get(label);
    while (true) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(address, CONNECT_TIMEOUT_MILLIS);
        socket.setSoTimeout(ackTimeoutMillis);
        queue.clear();
        sendFrames(queue, socket);
      } catch (IOException e) {
        LOG.debug("peer connection closed, peer={} error={}", label, e.toString());
        backOff();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends queued frames, one at a time, until the connection fails. */
  private static void sendFrames(FrameQueue queue, Socket socket)
      throws IOException, InterruptedException {
    DataOutputStream out =
        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
    InputStream acks = socket.getInputStream();
    while (true) {
      byte[] frame = queue.take();
      out.writeInt(frame.length);
      out.write(frame);
      out.flush();
      if (acks.read() < 0) {
        throw new EOFException("connection closed by the peer");
      }
    }
  }

  private static void backOff() {
    try {
      Thread.sleep(RECONNECT_BACKOFF_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept(ServerSocket server) {
    while (true) {
      try {
        Socket socket = server.accept();
        if (!incomingConnections.tryAcquire()) {
          socket.close();
          continue;
        }
        startThread("peer-in", () -> receiveLoop(socket));
      } catch (IOException e) {
        LOG.warn("peer connection not accepted, error={}", e.toString());
        backOff();
      }
    }
  }

  private void receiveLoop(Socket socket) {
    try (socket) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES));
      OutputStream acks = socket.getOutputStream();
      socket.setTcpNoDelay(true);
      while (true) {
        int length = in.readInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
          throw new IOException("invalid frame length: " + length + " bytes");
        }
        byte[] frame = in.readNBytes(length);
        if (frame.length < length) {
          return;
        }
        // While the event loop lags, frames are not acknowledged, and the sender reconnects.
        int permits = Math.min(incomingPermitLimit, 1 + length / BYTES_PER_PERMIT);
        if (!incomingPermits.tryAcquire(permits, READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
          throw new IOException("too many received frames wait for the event loop");
        }
        loop.post(
            () -> {
              incomingPermits.release(permits);
              receiver.accept(frame);
            });
        acks.write(ACK);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOG.debug("incoming peer connection closed, error={}", e.toString());
    } finally {
      incomingConnections.release();
    }
  }
}
