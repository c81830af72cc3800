package org.mulleinshift.transport;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One outgoing connection to each peer with a thread and a bounded queue; incoming connections are
 * only read. Every frame is preceded by its length.
 */
public final class TcpPeerLink implements PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerLink.class);
  private static final int LONGEST_FRAME = 4 << 20;
  private static final int QUEUED_FRAMES = 64;
  private static final int MOST_INCOMING = 16;
  private static final int CONNECT_MILLIS = 1000;
  private static final int SILENCE_MILLIS = 5000;
  private static final int STACK_BYTES = 192 * 1024;

  private final Map<String, ArrayBlockingQueue<byte[]>> queues = new HashMap<>();
  private final Map<String, InetSocketAddress> peers;
  private final EventLoop loop;
  private final Consumer<byte[]> receiver;
  private final Semaphore incoming = new Semaphore(MOST_INCOMING);

  public TcpPeerLink(
      EventLoop loop, Map<String, InetSocketAddress> peers, Consumer<byte[]> receiver) {
    this.loop = loop;
    this.peers = peers;
    this.receiver = receiver;
    peers.keySet().forEach(label -> queues.put(label, new ArrayBlockingQueue<>(QUEUED_FRAMES)));
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
    ArrayBlockingQueue<byte[]> queue = queues.get(label);
    while (queue != null && !queue.offer(frame)) {
      queue.poll();
    }
  }

  private static void startThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void sendLoop(String label, InetSocketAddress address) {
    ArrayBlockingQueue<byte[]> queue = queues.get(label);
    while (true) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(address, CONNECT_MILLIS);
        queue.clear();
        DataOutputStream out =
            new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 16 * 1024));
        while (true) {
          byte[] frame = queue.take();
          out.writeInt(frame.length);
          out.write(frame);
          if (queue.isEmpty()) {
            out.flush();
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
      while (true) {
        int length = in.readInt();
        if (length < 0 || length > LONGEST_FRAME) {
          throw new IOException("frame of " + length + " bytes");
        }
        byte[] frame = in.readNBytes(length);
        if (frame.length < length) {
          return;
        }
        loop.post(() -> receiver.accept(frame));
      }
    } catch (IOException e) {
      LOG.debug("incoming link ended: {}", e.toString());
    } finally {
      incoming.release();
    }
  }
}
