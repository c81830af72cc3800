import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double now() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void add(String format, Object... arguments) {
    out.printf("%8.3f %s%n", now(), String.format(format, arguments));
    out.flush();
  }
}
