package org.mulleinshift.classarchive;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.transport.JdkAsyncHttpClient;
import org.mulleinshift.transport.TcpPeerTransport;
import org.mulleinshift.transport.ThreadEventLoop;

/**
 * Creates the class-data archive: runs the packaged program until it has loaded the classes used to
 * start up, run jobs and talk to a peer, then terminates it, and the JVM writes the archive at
 * exit.
 */
public final class ClassArchiveTraining {
  private static final Path SETTINGS = Path.of("src/test/resources/settings/controller.toml");
  private static final Duration RUN_TIME = Duration.ofSeconds(9);
  private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration PEER_ACK_TIMEOUT = Duration.ofSeconds(1);
  private static final int PEER_BUFFER_BYTES = 1 << 20;
  private static final int CLIENT_THREADS = 1;
  private static final int CLIENT_QUEUE = 8;

  /** Retries are needed because another process may take a free port before the program does. */
  private static final int MAX_ATTEMPTS = 3;

  private final Path jar;
  private final Path archive;

  private ClassArchiveTraining(Path jar, Path archive) {
    this.jar = jar;
    this.archive = archive;
  }

  /**
   * Creates an archive; fails if no attempt writes it.
   *
   * @param args path of the program's jar, and path of the archive to write
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    ClassArchiveTraining training = new ClassArchiveTraining(Path.of(args[0]), Path.of(args[1]));
    Files.deleteIfExists(training.archive);
    for (int attempt = 0; attempt < MAX_ATTEMPTS && !Files.exists(training.archive); attempt++) {
      training.run();
    }
    if (!Files.exists(training.archive)) {
      throw new IOException(training.archive + " was not written in " + MAX_ATTEMPTS + " attempts");
    }
    System.exit(0);
  }

  private void run() throws IOException, InterruptedException {
    InetSocketAddress publicAddress = freeAddress();
    InetSocketAddress controllerPeer = freeAddress();
    InetSocketAddress ownPeer = freeAddress();
    ThreadEventLoop loop = new ThreadEventLoop();
    startThread(loop);
    TcpPeerTransport peers =
        new TcpPeerTransport(
            loop,
            Map.of("controller", controllerPeer),
            frame -> {},
            PEER_ACK_TIMEOUT,
            PEER_BUFFER_BYTES,
            PEER_BUFFER_BYTES);
    peers.start(ownPeer);
    Path settings = writeSettings(publicAddress, controllerPeer, ownPeer);
    JdkAsyncHttpClient client =
        new JdkAsyncHttpClient("training", loop, CLIENT_THREADS, CLIENT_QUEUE);
    loop.post(new TrainingWorker(loop, client, publicAddress)::start);
    loop.post(new TrainingUser(loop, client, publicAddress)::start);
    byte[] frames = new PeerCodec().write(new NodeId("peer"), TrainingFrames.all());
    runProgram(settings, () -> peers.send("controller", frames));
  }

  private static void startThread(ThreadEventLoop loop) {
    Thread thread =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "training");
    thread.setDaemon(true);
    thread.start();
  }

  private void runProgram(Path settings, Runnable sendFrames)
      throws IOException, InterruptedException {
    Process program =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:ArchiveClassesAtExit=" + archive,
                    "-Xlog:cds=off",
                    "-Xlog:cds+dynamic=off",
                    "-XX:+UseSerialGC",
                    "-jar",
                    jar.toString(),
                    "--config",
                    settings.toString()))
            .redirectErrorStream(true)
            .redirectOutput(archive.resolveSibling("class-archive.log").toFile())
            .start();
    try {
      if (program.waitFor(RUN_TIME.dividedBy(2).toMillis(), TimeUnit.MILLISECONDS)) {
        return;
      }
      sendFrames.run();
      if (program.waitFor(RUN_TIME.dividedBy(2).toMillis(), TimeUnit.MILLISECONDS)) {
        return;
      }
      program.destroy();
      program.waitFor(EXIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    } finally {
      program.destroyForcibly();
    }
  }

  private static Path writeSettings(
      InetSocketAddress publicAddress, InetSocketAddress controllerPeer, InetSocketAddress ownPeer)
      throws IOException {
    InetSocketAddress store = TrainingServer.start(new TrainingStore());
    InetSocketAddress cloud = TrainingServer.start(new TrainingCloud());
    String text = Files.readString(SETTINGS);
    text = withAddress(text, "public_addr", publicAddress);
    text = withAddress(text, "peer_bind", controllerPeer);
    text = withAddress(text, "address", ownPeer);
    text = withAddress(text, "cloud", cloud);
    text = withAddress(text, "state", store);
    Path file = Files.createTempFile("class-archive", ".toml");
    file.toFile().deleteOnExit();
    return Files.writeString(file, text);
  }

  private static String withAddress(String settings, String key, InetSocketAddress address) {
    String value = address.getAddress().getHostAddress() + ":" + address.getPort();
    return settings.replaceFirst("(?m)^" + key + " = \".*\"$", key + " = \"" + value + "\"");
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }
}
