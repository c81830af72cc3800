import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run to record.txt; collects broken rules. */
final class Record {
  private static final long START = System.nanoTime();
  private final PrintWriter out;
  private final List<String> broken = new ArrayList<>();

  Record(Path folder) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
  }

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", seconds(), text);
    out.flush();
  }

  synchronized void broken(String rule, String text) {
    broken.add(rule + ": " + text);
    line("BROKEN " + rule + ": " + text);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }
}
