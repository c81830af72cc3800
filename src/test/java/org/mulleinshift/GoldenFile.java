package org.mulleinshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Golden files: messages and stored records as encoded by an earlier build. Each file holds one
 * encoding and a line end. With {@code -Dgolden.write=true} a test writes its file and then fails,
 * so that a run that writes files is never taken for one that compares them.
 */
public final class GoldenFile {
  private static final Path ROOT = Path.of("src/test/resources/golden");
  private static final boolean WRITE_MODE = Boolean.getBoolean("golden.write");
  private static final String LINE_END = "\n";
  private static final int HEX_PER_LINE = 64;

  private GoldenFile() {}

  /** Content of the file without its final line end; fails if that is missing. */
  public static String text(String name) {
    try {
      String stored = Files.readString(ROOT.resolve(name));
      if (!stored.endsWith(LINE_END)) {
        return fail(name + " has no line end");
      }
      return stored.substring(0, stored.length() - LINE_END.length());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The bytes that the file holds as hexadecimal digits. */
  public static byte[] bytes(String name) {
    return HexFormat.of().parseHex(text(name).replace(LINE_END, ""));
  }

  /** Fails unless the file holds exactly this text. */
  public static void assertHolds(String name, String text) {
    if (WRITE_MODE) {
      write(name, text);
      fail(name + " was written, not compared");
    }
    assertEquals(text, text(name), name);
  }

  /** Fails unless the file holds exactly these bytes. */
  public static void assertHolds(String name, byte[] bytes) {
    assertHolds(name, hexLines(bytes));
  }

  /** Names of the regular files in a directory, excluding subdirectories. */
  public static Set<String> names(String directory) throws IOException {
    try (Stream<Path> files = Files.list(ROOT.resolve(directory))) {
      return files
          .filter(Files::isRegularFile)
          .map(file -> file.getFileName().toString())
          .collect(Collectors.toSet());
    }
  }

  private static String hexLines(byte[] bytes) {
    String hex = HexFormat.of().formatHex(bytes);
    return hex.replaceAll("(.{" + HEX_PER_LINE + "})(?=.)", "$1" + LINE_END);
  }

  private static void write(String name, String text) {
    try {
      Path file = ROOT.resolve(name);
      Files.createDirectories(file.getParent());
      Files.write(file, (text + LINE_END).getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
