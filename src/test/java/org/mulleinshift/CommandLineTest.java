package org.mulleinshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.PlatformSettingsReader;
import org.mulleinshift.settings.SettingsException;
import picocli.CommandLine;

/** Settings checks at the command line: each error is one line that names the file and the key. */
final class CommandLineTest {
  private static final Path VALID = Path.of("src/test/resources/settings/controller.toml");

  @TempDir private Path folder;

  private record Result(int code, String errors) {}

  private static Result run(String... args) {
    PrintStream old = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      int code = new CommandLine(new Main()).execute(args);
      return new Result(code, bytes.toString(StandardCharsets.UTF_8));
    } finally {
      System.setErr(old);
    }
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  @Test
  void acceptsGoodSettingsAndIgnoresUnknownFields() throws IOException {
    Path file = write("extra.toml", "novelty = 3\n" + Files.readString(VALID));
    Path yaml = write("ours.yaml", "cycle_ms: 200\n");
    Result result = run("--check", "--config", file.toString(), "--tunables", yaml.toString());
    assertEquals(new Result(0, ""), result);
  }

  @ParameterizedTest
  @CsvSource({
    "'size = 2','size = 0',cluster.size",
    "'lease_s = 12.0','lease_s = nan',cluster.workers.lease_s",
    "'cancel_s = 32.0','cancel_s = 17.0',cluster.workers.cancel_s",
    "'rps = 8.0','',cluster.cloud.rps",
    "'public_addr = \"127.0.0.1:18470\"','public_addr = \"nowhere\"',public_addr",
    "'label = \"controller\"','label = 7',label",
    "'[cluster.state]','[cluster.other]',cluster.state",
    "'[services]','[services',not valid TOML",
    "'txn_ops = 12','txn_ops = 12\nnext = 3',cluster.state.next",
    "'txn_ops = 12','txn_ops = 12\nnext = { txn_ops = 1 }',cluster.state.next.txn_ops",
    "'txn_ops = 12','txn_ops = 12\nnext = { value_kb = \"few\" }',cluster.state.next.value_kb",
  })
  void reportsErrorInPlatformSettings(String valid, String invalid, String expected)
      throws IOException {
    Path file = write("bad.toml", Files.readString(VALID).replace(valid, invalid));
    Result result = run("--check", "--config", file.toString());
    assertEquals(2, result.code());
    assertTrue(result.errors().startsWith(file + ": "), result.errors());
    assertTrue(result.errors().contains(expected), result.errors());
    assertEquals(1, result.errors().lines().count(), result.errors());
  }

  @ParameterizedTest
  @CsvSource({
    "'renew_s: 1000',renew_s",
    "'renew_s: soon',renew_s",
    "'renew_ms: 3',renew_ms",
    "'- renew_s',mapping",
    "'a: [',not valid YAML",
  })
  void reportsErrorInTunables(String text, String expected) throws IOException {
    Path yaml = write("ours.yaml", text + "\n");
    Result result = run("--check", "--config", VALID.toString(), "--tunables", yaml.toString());
    assertEquals(2, result.code());
    assertTrue(result.errors().startsWith(yaml + ": "), result.errors());
    assertTrue(result.errors().contains(expected), result.errors());
    assertEquals(1, result.errors().lines().count(), result.errors());
  }

  /** Limits that the upcoming ones omit stay as they are; the derived limits satisfy both. */
  @Test
  void readsUpcomingStoreLimits() throws IOException, SettingsException {
    String text = Files.readString(VALID);
    Path file =
        write(
            "next.toml",
            text.replace(
                "txn_ops = 12", "txn_ops = 12\nnext = { value_kb = 2.0, write_rps = 25.0 }"));
    PlatformSettings.StoreLimits changing =
        PlatformSettingsReader.read(file).cluster().storeLimits();
    assertEquals(2048, changing.lowestMaxValueBytes());
    assertEquals(12, changing.lowestMaxTransactionOperations());
    assertEquals(0.25, changing.writesShareAfterReduction());
    assertEquals(1, changing.requestsShareAfterReduction());
    PlatformSettings.StoreLimits unchanging =
        PlatformSettingsReader.read(VALID).cluster().storeLimits();
    assertEquals(8192, unchanging.lowestMaxValueBytes());
    assertEquals(1, unchanging.writesShareAfterReduction());
  }

  @Test
  void missingFileExitsWithCodeTwo() {
    Result result = run("--check", "--config", folder.resolve("none.toml").toString());
    assertEquals(2, result.code());
    assertTrue(result.errors().contains("cannot be read"), result.errors());
  }
}
