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
 * One outgoing connection to each peer with a thread and a bounded queue. Every frame is preceded
 * by its length and answered by one byte on the same connection: after a network cut a connection
 * may take frames for ever without delivering or failing, and only the missing answer shows it.
 */
public final class TcpPeerTransport implements PeerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerTransport.class);
  private static final int MAX_FRAME = 4 << 20;
  private static final int UNIT = 1024;
  private static final int QUEUED_FRAMES = 64;
  private static final int MAX_INCOMING = 16;
  private static final int CONNECT_MILLIS = 1000;
  private static final int SILENCE_MILLIS = 5000;
  private static final int ACK = 6;
  private static final int STACK_BYTES = 192 * 1024;

  private final Map<String, FrameQueue> queues = new HashMap<>();
  private final Map<String, InetSocketAddress> peers;
  private final EventLoop loop;
  private final int ackMillis;
  private final Consumer<byte[]> receiver;
  private final Semaphore incoming = new Semaphore(MAX_INCOMING);
  private final int incomingUnits;
  private final Semaphore unread;

  public TcpPeerTransport(
      EventLoop loop,
      Map<String, InetSocketAddress> peers,
      Consumer<byte[]> receiver,
      Duration ackWithin,
      int queuedBytes,
      int incomingBytes) {
    this.loop = loop;
    this.ackMillis = (int) ackWithin.toMillis();
    this.peers = peers;
    this.receiver = receiver;
    this.incomingUnits = Math.max(1, incomingBytes / UNIT);
    this.unread = new Semaphore(incomingUnits);
    peers.keySet().forEach(label -> queues.put(label, new FrameQueue(QUEUED_FRAMES, queuedBytes)));
  }

  public void start(InetSocketAddress bind) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(bind, 16);
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

  /** Bytes that wait for the peer. */
  public long queuedBytes(String label) {
    return queues.get(label).bytes();
  }

  private static void startThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void sendLoop(String label, InetSocketAddress address) {
    FrameQueue queue = queues.get(label);
    while (true) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(address, CONNECT_MILLIS);
        socket.setSoTimeout(ackMillis);
        queue.clear();
        DataOutputStream out =
            new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 16 * 1024));
        InputStream acks = socket.getInputStream();
        while (true) {
          byte[] frame = queue.take();
          out.writeInt(frame.length);
          out.write(frame);
          out.flush();
          if (acks.read() < 0) {
            throw new EOFException("closed by the peer");
          }
        }
      } catch (IOException e) {
        LOG.debug("link to {} ended: {}", label, e.toString());
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept(ServerSocket server) {
    while (true) {
      try {
        Socket socket = server.accept();
        if (!incoming.tryAcquire()) {
          socket.close();
          continue;
        }
        startThread("peer-in", () -> receiveLoop(socket));
      } catch (IOException e) {
        LOG.warn("accepting peers: {}", e.toString());
        pause();
      }
    }
  }

  private void receiveLoop(Socket socket) {
    try (socket) {
      socket.setSoTimeout(SILENCE_MILLIS);
      DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 * 1024));
      OutputStream acks = socket.getOutputStream();
      socket.setTcpNoDelay(true);
      while (true) {
        int length = in.readInt();
        if (length < 0 || length > MAX_FRAME) {
          throw new IOException("frame of " + length + " bytes");
        }
        byte[] frame = in.readNBytes(length);
        if (frame.length < length) {
          return;
        }
        // A loop that lags behind takes no more: the sender hears nothing and connects anew.
        int units = Math.min(incomingUnits, 1 + length / UNIT);
        if (!unread.tryAcquire(units, SILENCE_MILLIS, TimeUnit.MILLISECONDS)) {
          throw new IOException("frames wait for the event loop");
        }
        loop.post(
            () -> {
              unread.release(units);
              receiver.accept(frame);
            });
        acks.write(ACK);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOG.debug("incoming link ended: {}", e.toString());
    } finally {
      incoming.release();
    }
  }
}
