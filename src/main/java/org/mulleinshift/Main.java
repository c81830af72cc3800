package org.mulleinshift;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.mulleinshift.controller.Controller;
import org.mulleinshift.memory.Heap;
import org.mulleinshift.memory.HeapMonitor;
import org.mulleinshift.memory.MemoryBudget;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.settings.LeaseDurations;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.PlatformSettingsReader;
import org.mulleinshift.settings.SettingsException;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.settings.TunablesReader;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.JdkAsyncHttpClient;
import org.mulleinshift.transport.JdkHttpServer;
import org.mulleinshift.transport.TcpPeerTransport;
import org.mulleinshift.transport.ThreadEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Entry point of the controller process: parses the command line, reads the settings and runs the
 * controller.
 */
@Command(
    name = "mulleinshift",
    description = "Runs one controller of a mulleinshift cluster.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    sortOptions = false)
public final class Main implements Callable<Integer> {
  /** For each HTTP client: its number of threads, and how many calls may be queued for them. */
  private static final int STORE_THREADS = 6;

  private static final int STORE_QUEUE = 512;
  private static final int WATCH_THREADS = 2;
  private static final int WATCH_QUEUE = 8;
  private static final int CLOUD_THREADS = 2;
  private static final int CLOUD_QUEUE = 32;
  private static final int WORKER_THREADS = 8;
  private static final int WORKER_QUEUE = 256;
  private static final int MIB_SHIFT = 20;
  private static final String CONFIG_OPTION = "--config";
  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_CANNOT_LISTEN = 1;
  private static final Duration PEER_ACK_TIMEOUT = Duration.ofMillis(2500);

  @Option(
      names = CONFIG_OPTION,
      required = true,
      paramLabel = "FILE",
      description = "The platform's settings (TOML).")
  private Path config;

  @Option(
      names = "--tunables",
      paramLabel = "FILE",
      description = "The operators' own settings (YAML); see docs/operations.md.")
  private Path tunablesFile;

  @Option(names = "--check", description = "Check the settings files and end.")
  private boolean check;

  /**
   * Runs the controller. {@code --config FILE} is handled without picocli; all other arguments are
   * parsed by it.
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    int code =
        args.length == 2 && args[0].equals(CONFIG_OPTION)
            ? runWithConfig(Path.of(args[1]))
            : parseAndRun(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  /**
   * Fast path for the command line that the platform uses. It avoids picocli, whose class files are
   * too old for the class data sharing archive: loading them took a part of each process start on a
   * small share of a core.
   */
  private static int runWithConfig(Path config) throws IOException, InterruptedException {
    Main main = new Main();
    main.config = config;
    return main.call();
  }

  private static int parseAndRun(String[] args) {
    return new CommandLine(new Main()).execute(args);
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    PlatformSettings settings;
    Tunables tunables;
    try {
      settings = PlatformSettingsReader.read(config);
      tunables = tunablesFile == null ? Tunables.defaults() : TunablesReader.read(tunablesFile);
      LeaseDurations.checkShardLease(
          config.toString(), settings.cluster().workerTiming(), tunables);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return EXIT_INVALID_SETTINGS;
    }
    if (check) {
      System.out.println("settings are in order");
      return 0;
    }
    MemoryBudget memory =
        MemoryBudget.of(
            settings.processLimits().memoryMb(),
            settings.processLimits().maxFileDescriptors(),
            Runtime.getRuntime().maxMemory());
    JdkHttpServer.configureJdkHttp(memory.maxIdleConnections());
    try {
      run(settings, tunables, memory);
    } catch (BindException e) {
      System.err.println(
          "cannot listen on "
              + settings.publicAddress()
              + " and "
              + settings.peerBindAddress()
              + ": "
              + e.getMessage());
      return EXIT_CANNOT_LISTEN;
    }
    return 0;
  }

  private void run(PlatformSettings settings, Tunables tunables, MemoryBudget memory)
      throws IOException, InterruptedException {
    Logger log = LoggerFactory.getLogger(Main.class);
    ThreadEventLoop loop = new ThreadEventLoop();
    AtomicReference<Controller> controllerRef = new AtomicReference<>();
    TcpPeerTransport peers =
        peerTransport(loop, settings, memory, frame -> controllerRef.get().onFrame(frame));
    Controller controller = new Controller(settings, tunables, ports(loop, peers, memory));
    controllerRef.set(controller);
    JdkHttpServer server =
        new JdkHttpServer(
            loop,
            controller,
            settings.publicAddress(),
            new JdkHttpServer.Limits(
                tunables.count(Tunables.Key.HTTP_THREADS),
                memory.userBodyBytes(),
                memory.heartbeatBodyBytes(),
                WorkerCodec.HEARTBEAT_PATH::equals));
    peers.start(settings.peerBindAddress());
    server.start();
    log.info(
        "controller started, label={} address={} heap_mib={}",
        settings.label(),
        settings.publicAddress(),
        memory.heapLimitBytes() >> MIB_SHIFT);
    loop.post(controller::start);
    loop.run();
  }

  private static TcpPeerTransport peerTransport(
      EventLoop loop, PlatformSettings settings, MemoryBudget memory, Consumer<byte[]> receiver) {
    Map<String, InetSocketAddress> peers = new HashMap<>();
    settings.members().forEach(member -> peers.put(member.label(), member.address()));
    return new TcpPeerTransport(
        loop,
        peers,
        receiver,
        PEER_ACK_TIMEOUT,
        memory.peerQueueBytes(),
        memory.peerIncomingBytes());
  }

  private static Controller.Ports ports(
      EventLoop loop, TcpPeerTransport peers, MemoryBudget memory) {
    return new Controller.Ports(
        loop,
        new JdkAsyncHttpClient("state", loop, STORE_THREADS, STORE_QUEUE),
        new JdkAsyncHttpClient("watch", loop, WATCH_THREADS, WATCH_QUEUE),
        new JdkAsyncHttpClient("cloud", loop, CLOUD_THREADS, CLOUD_QUEUE),
        new JdkAsyncHttpClient("worker", loop, WORKER_THREADS, WORKER_QUEUE),
        peers,
        new HeapMonitor(loop, Heap.ofProcess(), memory.heapLimitBytes()));
  }

  /** Returns the version from the jar's manifest, or {@code (not packaged)} without a jar. */
  public static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"mulleinshift " + (version == null ? "(not packaged)" : version)};
    }
  }
}
